package io.fireflywalk.core.ingress;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Account of the memory that connections of callers hold: heads, pipelined requests, trailers and unread responses. It has
 * one bound together with {@link BodyMemory}, of which each has a fixed part, so that bodies cannot take the room of
 * heads. Every byte belongs to a connection, whose end releases it. Not thread-safe.
 *
 * <p>A response is never refused memory, because its request may have run. A part for it is set aside with the head; what
 * exceeds that part may exceed the bound, so that no further heads are taken, until an eighth of the account is held by
 * responses. Then the connections that have read nothing for longest are closed.
 *
 * <p>The fuller the account, the less a connection can hold: up to three quarters a quarter of the account or two of the largest
 * heads, then only a small share; above nine tenths only for addresses that hold less than half. Without room, larger
 * connections that have no request in progress are closed for a smaller one, the largest and newest first.
 */
public final class CallerMemory {
    /** What remains beside bodies is for targets, tables, and objects that have not been collected. */
    private static final double HEAP_FRACTION = 0.15;
    /** Two of the largest heads that a configuration of 16 KiB allows. */
    private static final long MINIMUM_BYTES = 2 * HeadMeter.cost(16_384, 5_461);
    /** Receive buffer, decoder and objects of an open connection. */
    private static final long CONNECTION_COST = 4096;

    /** Part of a response that is set aside with the head of its request; usual responses fit into it. */
    private static final long RESPONSE_RESERVE = 4096;

    private static final int RESPONSES_DIVISOR = 8;
    private static final double NEARLY_FULL = 0.75;
    private static final double ALMOST_FULL = 0.9;
    private static final int CONNECTION_DIVISOR = 4;
    private static final int SMALL_DIVISOR = 64;
    private static final int ADDRESS_DIVISOR = 2;
    private static final Comparator<Holder> LARGEST_AND_NEWEST_LAST =
            Comparator.<Holder>comparingLong(holder -> holder.bytes).thenComparingLong(holder -> holder.number);

    private final long capacity;
    private final Map<String, Long> heldByAddress = new HashMap<>();
    /** Connections without a request in progress. */
    private final TreeSet<Holder> closable = new TreeSet<>(LARGEST_AND_NEWEST_LAST);

    /** Connections with responses that exceed the part set aside; those that have read nothing for longest first. */
    private final Set<Holder> reading = new LinkedHashSet<>();

    private long held;
    /** Bytes of responses that exceed the parts set aside for them. */
    private long heldByResponses;

    private long opened;

    /** Memory of one connection. */
    public static final class Holder {
        private final String address;
        private final long number;
        private final Consumer<CallerLimit> onClose;
        private long bytes;
        private long unread;
        private boolean busy;
        private boolean ended;

        private Holder(String address, long number, Consumer<CallerLimit> onClose) {
            this.address = address;
            this.number = number;
            this.onClose = onClose;
        }

        /** Returns the bytes that the connection holds. */
        public long bytes() {
            return bytes;
        }

        private long beyondReserve() {
            return Math.max(0, unread - RESPONSE_RESERVE);
        }
    }

    /** Creates an account with a bound. */
    public CallerMemory(long bytes) {
        this.capacity = bytes;
    }

    /** Returns the bytes for a process with a heap of a size. */
    public static long bytesOfHeap(long heapBytes) {
        return Math.max(MINIMUM_BYTES, (long) (HEAP_FRACTION * heapBytes));
    }

    /**
     * Adds a connection.
     *
     * @param onClose receives the reason if the connection must be closed to make room; it has been removed from the
     *     account then
     */
    public Holder open(String address, Consumer<CallerLimit> onClose) {
        Holder holder = new Holder(address, opened++, onClose);
        add(holder, CONNECTION_COST);
        closable.add(holder);
        return holder;
    }

    /** Adds bytes to what a connection holds; returns false if there is no room for them. */
    public boolean grow(Holder holder, long bytes) {
        if (holder.ended || (bytes > 0 && !isWithinShare(holder, bytes))) {
            return false;
        }
        List<Holder> closed = new ArrayList<>();
        while (held + bytes > capacity && hasLarger(holder, bytes)) {
            Holder largest = closable.last();
            close(largest);
            closed.add(largest);
        }
        boolean hasRoom = held + bytes <= capacity;
        if (hasRoom) {
            resize(holder, bytes);
        }
        closed.forEach(largest -> largest.onClose.accept(CallerLimit.MEMORY));
        return hasRoom;
    }

    private boolean isWithinShare(Holder holder, long bytes) {
        long after = held + bytes;
        long own = holder.bytes + bytes;
        if (after <= NEARLY_FULL * capacity) {
            return own <= Math.max(MINIMUM_BYTES, capacity / CONNECTION_DIVISOR);
        }
        if (own > capacity / SMALL_DIVISOR) {
            return false;
        }
        return after <= ALMOST_FULL * capacity
                || holder.busy
                || heldByAddress.getOrDefault(holder.address, 0L) + bytes <= capacity / ADDRESS_DIVISOR
                || hasLarger(holder, bytes);
    }

    private boolean hasLarger(Holder holder, long bytes) {
        return !closable.isEmpty() && closable.last() != holder && closable.last().bytes > holder.bytes + bytes;
    }

    /** Takes bytes off what a connection holds. */
    public void shrink(Holder holder, long bytes) {
        if (!holder.ended) {
            resize(holder, -Math.min(bytes, holder.bytes));
        }
    }

    /** States whether a request of the connection is in progress, so that it is not closed to make room for others. */
    public void setBusy(Holder holder, boolean busy) {
        if (holder.ended || holder.busy == busy) {
            return;
        }
        holder.busy = busy;
        if (busy) {
            closable.remove(holder);
        } else {
            closable.add(holder);
        }
    }

    /** Removes a connection with all that it holds. */
    public void close(Holder holder) {
        if (holder.ended) {
            return;
        }
        closable.remove(holder);
        reading.remove(holder);
        heldByResponses -= holder.beyondReserve();
        add(holder, -holder.bytes);
        holder.ended = true;
    }

    /** Returns the bytes to take for a head with a cost, which include the part of its response. */
    public static long withResponse(long headCost) {
        return headCost + RESPONSE_RESERVE;
    }

    /** Adds a part of a response that has not been written. */
    public void addResponse(Holder holder, long bytes) {
        if (holder.ended) {
            return;
        }
        setUnread(holder, holder.unread + bytes);
        if (holder.beyondReserve() > 0) {
            reading.add(holder);
        }
        List<Holder> closed = new ArrayList<>();
        while (held > capacity && heldByResponses > capacity / RESPONSES_DIVISOR && reading.size() > 1) {
            Holder slowest = reading.iterator().next();
            close(slowest);
            closed.add(slowest);
        }
        closed.forEach(slowest -> slowest.onClose.accept(CallerLimit.RESPONSE_MEMORY));
    }

    /** Releases a part of a response that has been written, which shows that the caller reads. */
    public void releaseResponse(Holder holder, long bytes) {
        if (holder.ended) {
            return;
        }
        setUnread(holder, Math.max(0, holder.unread - bytes));
        reading.remove(holder);
        if (holder.beyondReserve() > 0) {
            reading.add(holder);
        }
    }

    private void setUnread(Holder holder, long unread) {
        long before = holder.beyondReserve();
        holder.unread = unread;
        resize(holder, holder.beyondReserve() - before);
        heldByResponses += holder.beyondReserve() - before;
    }

    /** Tells whether there is no room, so that targets should not be read before their callers have read. */
    public boolean isFull() {
        return held >= capacity;
    }

    private void resize(Holder holder, long bytes) {
        boolean ordered = closable.remove(holder);
        add(holder, bytes);
        if (ordered) {
            closable.add(holder);
        }
    }

    private void add(Holder holder, long bytes) {
        holder.bytes += bytes;
        held += bytes;
        heldByAddress.merge(holder.address, bytes, (before, added) -> before + added == 0 ? null : before + added);
    }

    /** Returns the bytes that connections hold. */
    public long heldBytes() {
        return held;
    }

    /** Returns the bytes of responses that exceed the parts set aside for them. */
    public long heldByResponses() {
        return heldByResponses;
    }

    /** Returns the largest number of bytes that connections may hold. */
    public long maximumBytes() {
        return capacity;
    }
}
