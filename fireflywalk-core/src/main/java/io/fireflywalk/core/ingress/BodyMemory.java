package io.fireflywalk.core.ingress;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Account of the memory for request bodies. Small and large bodies have a bound each, so that large ones cannot take the
 * room of small ones; a client account can take half of either. Not thread-safe.
 */
public final class BodyMemory {
    /** Longest body that counts as small. */
    public static final int SMALL_BODY_BYTES = 65_536;
    /** The rest of the heap is for responses, connections, tables, and arrays that have not been collected. */
    private static final double HEAP_FRACTION = 0.35;

    private static final double SMALL_BODIES_FRACTION = 0.25;
    private static final double ACCOUNT_FRACTION = 0.5;
    /** What a paused connection may have read before its body has room, with a margin. */
    private static final int WAITING_BODY_BYTES = 4 * 65_536;
    /** A body of unknown length takes twice as much with each step, as the array that it is collected in. */
    private static final int FIRST_STEP_BYTES = 8192;
    /** Weight of the latest holding time in the mean. */
    private static final double LATEST_WEIGHT = 0.125;

    private final Pool small;
    private final Pool large;

    /** State of a reservation. */
    public enum State {
        /** Waits for room. */
        WAITING,
        /** Holds its bytes. */
        HELD,
        /** Has ended, or never had room. */
        ENDED
    }

    /** Memory that one request holds or waits for. */
    public static final class Reservation {
        private final Optional<String> account;
        private final Runnable onGranted;
        private Pool pool;
        private State state = State.ENDED;
        private long bytes;
        private long grantedAt;

        private Reservation(Optional<String> account, Pool pool, long bytes, Runnable onGranted) {
            this.account = account;
            this.pool = pool;
            this.bytes = bytes;
            this.onGranted = onGranted;
        }

        public State state() {
            return state;
        }

        /** Returns the bytes that the request holds or waits for. */
        public long bytes() {
            return bytes;
        }
    }

    /** Bytes of one class of bodies. */
    private static final class Pool {
        private final long capacity;
        private final Map<String, Long> heldByAccount = new HashMap<>();
        private final ArrayDeque<Reservation> waiting = new ArrayDeque<>();
        private long held;
        private long waitingBytes;
        private double meanHoldNanoseconds;

        Pool(long capacity) {
            this.capacity = capacity;
        }

        long accountCapacity() {
            return (long) (ACCOUNT_FRACTION * capacity);
        }

        boolean hasRoom(long bytes) {
            return held + bytes <= capacity;
        }

        boolean accountHasRoom(Optional<String> account, long bytes) {
            return account.isEmpty() || heldByAccount.getOrDefault(account.get(), 0L) + bytes <= accountCapacity();
        }

        boolean canEverHold(Optional<String> account, long bytes) {
            return bytes <= (account.isPresent() ? accountCapacity() : capacity);
        }

        /** Tells whether a body has room that nobody who could use it has waited for. */
        boolean hasRoomNow(Optional<String> account, long bytes) {
            return hasRoom(bytes)
                    && accountHasRoom(account, bytes)
                    && waiting.stream().noneMatch(first -> accountHasRoom(first.account, first.bytes));
        }

        boolean canWait(long bytes, Duration maximumWait) {
            return (waiting.size() + 1L) * WAITING_BODY_BYTES <= capacity
                    && meanHoldNanoseconds * (waitingBytes + bytes) / capacity <= maximumWait.toNanos();
        }

        void add(Optional<String> account, long bytes) {
            if (bytes == 0) {
                return;
            }
            held += bytes;
            account.ifPresent(name ->
                    heldByAccount.merge(name, bytes, (before, added) -> before + added == 0 ? null : before + added));
        }
    }

    /** Creates an account with a bound for all bodies. */
    public BodyMemory(long bytes) {
        long smallBytes = (long) (SMALL_BODIES_FRACTION * bytes);
        this.small = new Pool(smallBytes);
        this.large = new Pool(bytes - smallBytes);
    }

    /** Returns an account for a process with a heap of a size. */
    public static BodyMemory ofHeap(long heapBytes) {
        return new BodyMemory((long) (HEAP_FRACTION * heapBytes));
    }

    /**
     * Reserves memory for a body of known length, or a place in the order of arrival if it is likely to have room in time.
     *
     * @param onGranted runs when a reservation that waits has got its bytes
     */
    public Reservation reserve(
            Optional<String> account, long bytes, Duration maximumWait, long now, Runnable onGranted) {
        Pool pool = bytes <= SMALL_BODY_BYTES ? small : large;
        Reservation reservation = new Reservation(account, pool, bytes, onGranted);
        if (!pool.canEverHold(account, bytes)) {
            return reservation;
        }
        if (bytes == 0 || pool.hasRoomNow(account, bytes)) {
            grant(reservation, now);
        } else if (pool.canWait(bytes, maximumWait)) {
            reservation.state = State.WAITING;
            pool.waiting.add(reservation);
            pool.waitingBytes += bytes;
        }
        return reservation;
    }

    /** Returns a reservation without bytes, for a body of unknown length. */
    public Reservation open(Optional<String> account, long now) {
        Reservation reservation = new Reservation(account, small, 0, () -> {});
        grant(reservation, now);
        return reservation;
    }

    /**
     * Extends a reservation to a body of at least a length. A body that holds a part never waits for the rest, because two
     * such bodies could wait for each other.
     *
     * @return false if there is no room; the reservation is unchanged then
     */
    public boolean extend(Reservation reservation, long length, long now) {
        if (length <= reservation.bytes) {
            return true;
        }
        long bytes = Math.max(FIRST_STEP_BYTES, 2 * Long.highestOneBit(length - 1));
        Pool pool = bytes <= SMALL_BODY_BYTES ? small : large;
        boolean moves = pool != reservation.pool;
        long added = moves ? bytes : bytes - reservation.bytes;
        boolean hasRoom = moves
                ? pool.hasRoomNow(reservation.account, added)
                : pool.hasRoom(added) && pool.accountHasRoom(reservation.account, added);
        if (!hasRoom) {
            return false;
        }
        pool.add(reservation.account, added);
        if (moves) {
            Pool left = reservation.pool;
            left.add(reservation.account, -reservation.bytes);
            reservation.pool = pool;
            reservation.bytes = bytes;
            grantWaiting(left, now);
        }
        reservation.bytes = bytes;
        return true;
    }

    /** Ends a reservation, and grants those that have waited for its bytes. */
    public void release(Reservation reservation, long now) {
        Pool pool = reservation.pool;
        if (reservation.state == State.HELD) {
            pool.add(reservation.account, -reservation.bytes);
            pool.meanHoldNanoseconds += LATEST_WEIGHT * (now - reservation.grantedAt - pool.meanHoldNanoseconds);
        } else if (reservation.state == State.WAITING) {
            pool.waiting.remove(reservation);
            pool.waitingBytes -= reservation.bytes;
        }
        reservation.state = State.ENDED;
        grantWaiting(pool, now);
    }

    private static void grant(Reservation reservation, long now) {
        reservation.state = State.HELD;
        reservation.grantedAt = now;
        reservation.pool.add(reservation.account, reservation.bytes);
    }

    /** Grants in the order of arrival; those whose account has its share do not hold up others. */
    private static void grantWaiting(Pool pool, long now) {
        List<Reservation> granted = new ArrayList<>();
        Iterator<Reservation> remaining = pool.waiting.iterator();
        boolean hasRoom = true;
        while (hasRoom && remaining.hasNext()) {
            Reservation next = remaining.next();
            if (pool.accountHasRoom(next.account, next.bytes)) {
                hasRoom = pool.hasRoom(next.bytes);
                if (hasRoom) {
                    remaining.remove();
                    pool.waitingBytes -= next.bytes;
                    grant(next, now);
                    granted.add(next);
                }
            }
        }
        // Last, because a granted request may end at once and release its bytes.
        granted.stream().filter(next -> next.state == State.HELD).forEach(next -> next.onGranted.run());
    }

    /** Returns the bytes that bodies hold. */
    public long heldBytes() {
        return small.held + large.held;
    }

    /** Returns the largest number of bytes that bodies may hold. */
    public long maximumBytes() {
        return small.capacity + large.capacity;
    }

    /** Returns the number of bodies that wait for room. */
    public int waitingBodies() {
        return small.waiting.size() + large.waiting.size();
    }
}
