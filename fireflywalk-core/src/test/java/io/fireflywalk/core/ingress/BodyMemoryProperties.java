package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.ingress.BodyMemory.Reservation;
import io.fireflywalk.core.ingress.BodyMemory.State;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against request bodies that together exceed the memory of the process, and against bodies that wait for ever. */
class BodyMemoryProperties {
    private static final int BOUND = 16_000_000;
    private static final int SMALL_BOUND = BOUND / 4;
    private static final int LARGE = 1_000_000;
    private static final Duration LONG_WAIT = Duration.ofHours(1);
    private static final Optional<String> NOBODY = Optional.empty();

    private final BodyMemory memory = new BodyMemory(BOUND);

    private static Reservation reserve(BodyMemory memory, Optional<String> account, int bytes) {
        return memory.reserve(account, bytes, LONG_WAIT, 0, () -> {});
    }

    /** A drawn sequence of arrivals, growing bodies and ends; afterwards all bodies end one by one. */
    @Property(tries = 300)
    void bytesStayWithinTheBoundsAndEveryBodyThatWaitsIsGrantedOnceInOrder(@ForAll long seed) {
        Random random = new Random(seed);
        List<Reservation> open = new ArrayList<>();
        Map<Reservation, Optional<String>> accounts = new HashMap<>();
        List<Integer> grants = new ArrayList<>();
        List<Integer> waited = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            Optional<String> account =
                    Optional.of("account-" + random.nextInt(4)).filter(name -> random.nextInt(3) > 0);
            int kind = random.nextInt(10);
            if (kind < 5) {
                int number = step;
                int bytes = random.nextBoolean() ? random.nextInt(65_537) : random.nextInt(9 * LARGE);
                Reservation reservation = memory.reserve(account, bytes, LONG_WAIT, step, () -> grants.add(number));
                accounts.put(reservation, account);
                if (reservation.state() != State.ENDED) {
                    open.add(reservation);
                }
                if (reservation.state() == State.WAITING) {
                    waited.add(number);
                }
            } else if (kind < 6) {
                Reservation reservation = memory.open(account, step);
                accounts.put(reservation, account);
                open.add(reservation);
            } else if (!open.isEmpty()) {
                Reservation reservation = open.get(random.nextInt(open.size()));
                if (kind < 8 && reservation.state() == State.HELD) {
                    long before = reservation.bytes();
                    long length = before + random.nextInt(300_000);
                    boolean extended = memory.extend(reservation, length, step);
                    assertTrue(extended ? reservation.bytes() >= length : reservation.bytes() == before);
                } else {
                    memory.release(reservation, step);
                    open.remove(reservation);
                }
            }
            assertBounds(open, accounts);
        }
        for (int step = 400; !open.isEmpty(); step++) {
            Reservation held = open.stream()
                    .filter(reservation -> reservation.state() == State.HELD)
                    .findFirst()
                    .orElseThrow(() -> new AssertionError("all that is left waits"));
            memory.release(held, step);
            open.remove(held);
            assertBounds(open, accounts);
        }
        assertEquals(List.of(0L, 0), List.of(memory.heldBytes(), memory.waitingBodies()));
        assertEquals(grants.size(), grants.stream().distinct().count());
        assertTrue(waited.containsAll(grants));
    }

    private void assertBounds(List<Reservation> open, Map<Reservation, Optional<String>> accounts) {
        Map<String, Long> largeByAccount = new HashMap<>();
        long held = 0;
        long large = 0;
        for (Reservation reservation : open) {
            if (reservation.state() == State.HELD) {
                held += reservation.bytes();
                if (reservation.bytes() > BodyMemory.SMALL_BODY_BYTES) {
                    large += reservation.bytes();
                    accounts.get(reservation)
                            .ifPresent(account -> largeByAccount.merge(account, reservation.bytes(), Long::sum));
                }
            }
        }
        assertEquals(held, memory.heldBytes());
        assertTrue(large <= BOUND - SMALL_BOUND, "large bodies hold " + large);
        assertTrue(held - large <= SMALL_BOUND, "small bodies hold " + (held - large));
        largeByAccount.values().forEach(bytes -> assertTrue(bytes <= (BOUND - SMALL_BOUND) / 2, "share " + bytes));
    }

    @Example
    void smallBodyHasRoomWhileLargeOnesWait() {
        IntStream.range(0, 14).forEach(index -> reserve(memory, NOBODY, LARGE));
        assertEquals(2, memory.waitingBodies());
        assertEquals(
                State.HELD, reserve(memory, NOBODY, BodyMemory.SMALL_BODY_BYTES).state());
    }

    @Example
    void accountAtItsShareHoldsUpNoOther() {
        IntStream.range(0, 7).forEach(index -> reserve(memory, Optional.of("greedy"), LARGE));
        assertEquals(1, memory.waitingBodies());
        assertEquals(State.HELD, reserve(memory, Optional.of("other"), LARGE).state());
        assertEquals(State.HELD, reserve(memory, NOBODY, LARGE).state());
    }

    @Example
    void bodiesThatWaitAreGrantedInTheOrderOfArrival() {
        Reservation first = reserve(memory, NOBODY, 12 * LARGE);
        List<String> granted = new ArrayList<>();
        memory.reserve(NOBODY, 9 * LARGE, LONG_WAIT, 0, () -> granted.add("long"));
        memory.reserve(NOBODY, LARGE, LONG_WAIT, 0, () -> granted.add("second"));
        memory.reserve(NOBODY, 4 * LARGE, LONG_WAIT, 0, () -> granted.add("third"));
        assertEquals(List.of(), granted);
        memory.release(first, 1);
        assertEquals(List.of("long", "second"), granted);
    }

    @Example
    void bodyThatCannotHaveRoomInTimeDoesNotWait() {
        Reservation slow = reserve(memory, NOBODY, 12 * LARGE);
        memory.release(slow, Duration.ofSeconds(80).toNanos());
        reserve(memory, NOBODY, 12 * LARGE);
        assertEquals(
                State.ENDED,
                memory.reserve(NOBODY, 6 * LARGE, Duration.ofSeconds(4), 0, () -> {})
                        .state());
        assertEquals(
                State.WAITING,
                memory.reserve(NOBODY, 6 * LARGE, Duration.ofSeconds(6), 0, () -> {})
                        .state());
    }

    @Example
    void bodyOfUnknownLengthIsDeniedAStepWithoutRoomAndDoesNotPassThoseThatWait() {
        Reservation growing = memory.open(NOBODY, 0);
        assertTrue(memory.extend(growing, 6 * LARGE, 0));
        Reservation later = memory.open(NOBODY, 0);
        reserve(memory, NOBODY, 5 * LARGE);
        assertEquals(1, memory.waitingBodies());
        assertFalse(memory.extend(later, 100_000, 0));
        assertFalse(memory.extend(growing, 9 * LARGE, 0));
        assertTrue(memory.extend(later, BodyMemory.SMALL_BODY_BYTES, 0));
    }
}
