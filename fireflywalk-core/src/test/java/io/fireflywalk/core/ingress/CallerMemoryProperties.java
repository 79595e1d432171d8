package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.ingress.CallerMemory.Holder;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against an account that lets memory grow, that is never released, or that refuses usual callers in calm. */
class CallerMemoryProperties {
    private static final int CAPACITY = 10_000_000;
    private static final int USUAL_HEAD = 6000;
    private static final CallerBounds BOUNDS =
            new CallerBounds(65_536, 6000, 100, 1024, 16, Duration.ofSeconds(10), 100, 100, CAPACITY);

    private final CallerMemory memory = new CallerMemory(CAPACITY);

    @Property(tries = 200, seed = "52")
    void everythingIsWithinTheBoundAndReleasedWithItsConnection(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int connections) {
        Random random = new Random(seed);
        List<Holder> open = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            if (open.size() < connections) {
                open.add(memory.open("address-" + random.nextInt(3), limit -> {}));
            }
            Holder holder = open.get(random.nextInt(open.size()));
            switch (random.nextInt(5)) {
                case 0 -> memory.shrink(holder, random.nextInt(200_000));
                case 1 -> memory.setBusy(holder, random.nextBoolean());
                case 2 -> {
                    memory.close(holder);
                    open.remove(holder);
                }
                default -> memory.grow(holder, random.nextInt(800_000));
            }
            assertTrue(memory.heldBytes() <= CAPACITY);
        }
        open.forEach(memory::close);
        assertEquals(0, memory.heldBytes());
    }

    /** Fills the account from one address. */
    private List<Holder> fill(String address, int bytes, boolean busy, List<Integer> closed) {
        List<Holder> holders = new ArrayList<>();
        boolean hasRoom = true;
        while (hasRoom) {
            int number = holders.size();
            Holder holder = memory.open(address, limit -> closed.add(number));
            holders.add(holder);
            hasRoom = memory.grow(holder, bytes);
            memory.setBusy(holder, busy);
        }
        return holders;
    }

    @Property(tries = 20, seed = "52")
    void usualHeadHasRoomBesideConnectionsThatHoldMuch(
            @ForAll @IntRange(min = 200_000, max = 2_000_000) int bytes, @ForAll boolean busy) {
        fill("abusive", bytes, busy, new ArrayList<>());
        assertTrue(memory.grow(memory.open("usual", limit -> {}), USUAL_HEAD));
    }

    @Example
    void largestAndNewestWithoutRequestIsClosedForASmallerOne() {
        List<Integer> closed = new ArrayList<>();
        List<Holder> holders = fill("abusive", 150_000, false, closed);
        fill("usual", 40_000, true, new ArrayList<>());
        assertTrue(memory.grow(memory.open("other", limit -> {}), USUAL_HEAD));
        assertFalse(closed.isEmpty());
        // The last one was refused its bytes, and so is not the largest.
        assertEquals(holders.size() - 2, closed.get(0));
    }

    /** Guards against responses of requests that have run and are lost because heads fill the account (incident 017). */
    @Property(tries = 60, seed = "11")
    void responseHasRoomHoweverFullTheAccountIs(
            @ForAll @IntRange(min = 500, max = 120_000) int headBytes,
            @ForAll @IntRange(min = 1, max = 65_536) int responseBytes,
            @ForAll @IntRange(min = 0, max = 2000) int idle) {
        List<Integer> closed = new ArrayList<>();
        List<Holder> holders = fill("address", headBytes, true, closed);
        for (int connection = 0; connection < idle; connection++) {
            memory.open("other", limit -> closed.add(-1));
        }
        for (Holder holder : holders) {
            memory.addResponse(holder, responseBytes);
            memory.releaseResponse(holder, responseBytes);
        }
        assertEquals(List.of(), closed);
    }

    @Property(tries = 60, seed = "11")
    void responsesThatNobodyReadsAreClosedSlowestFirst(@ForAll @IntRange(min = 5000, max = 200_000) int bytes) {
        List<CallerLimit> limits = new ArrayList<>();
        List<Integer> closed = new ArrayList<>();
        List<Holder> holders = new ArrayList<>();
        for (int number = 0; number < 3000; number++) {
            int caller = number;
            Holder holder = memory.open("address-" + number, limit -> {
                limits.add(limit);
                closed.add(caller);
            });
            memory.setBusy(holder, true);
            holders.add(holder);
            memory.addResponse(holder, bytes);
            // The first caller reads, so that it is never the slowest.
            memory.releaseResponse(holders.get(0), 1);
            memory.addResponse(holders.get(0), 1);
            assertTrue(memory.heldByResponses() <= CAPACITY + bytes);
        }
        assertFalse(closed.isEmpty());
        assertFalse(closed.contains(0));
        assertEquals(closed.stream().sorted().toList(), closed);
        assertEquals(
                limits.size(),
                limits.stream().filter(CallerLimit.RESPONSE_MEMORY::equals).count());
        holders.forEach(memory::close);
        assertEquals(0, memory.heldBytes());
        assertEquals(0, memory.heldByResponses());
    }

    @Example
    void addressMayHoldMostOfTheAccountUntilItIsNearlyFull() {
        for (int connection = 0; connection < 7; connection++) {
            assertTrue(memory.grow(memory.open("load-balancer", limit -> {}), CAPACITY / 10));
        }
    }

    @Example
    void largestHeadOfAConfigurationMeetsNoLimit() {
        HeadMeter meter = new HeadMeter(BOUNDS, BOUNDS::headBytes);
        meter.headStarted(16_384);
        assertEquals(Optional.empty(), meter.add(16_384, 5461, 0));
        CallerMemory smallest = new CallerMemory(CallerMemory.bytesOfHeap(0));
        assertTrue(smallest.grow(smallest.open("address", limit -> {}), meter.cost(0)));
    }

    /** Guards against a limit of the configuration that counts the request line, or that trailers meet. */
    @Example
    void configurationLimitsTheHeaderLinesOfHeads() {
        Optional<CallerLimits> stated = Optional.of(new CallerLimits(1000, 16_384, Duration.ZERO, Duration.ZERO));
        assertEquals(65_536, BOUNDS.headBytesWith(Optional.empty()));
        HeadMeter meter = new HeadMeter(BOUNDS, () -> BOUNDS.headBytesWith(stated));
        meter.headStarted(16_384);
        assertEquals(Optional.empty(), meter.add(16_384, 1, 0));
        assertEquals(Optional.of(CallerLimit.HEAD_BYTES), meter.exceeded(1));
        meter.messageDecoded();
        assertEquals(Optional.empty(), meter.add(65_536, 1, 0));
    }

    @Example
    void eachLimitIsFoundInManySmallSteps() {
        HeadMeter meter = new HeadMeter(BOUNDS, BOUNDS::headBytes);
        assertEquals(CallerLimit.EMPTY_LINES, firstLimit(meter, 2, 0, 0));
        for (CallerLimit limit : List.of(CallerLimit.HEAD_BYTES, CallerLimit.HEAD_LINES, CallerLimit.FOLDED_LINES)) {
            meter.headStarted(0);
            int lines = limit == CallerLimit.HEAD_BYTES ? 0 : 1;
            int folded = limit == CallerLimit.FOLDED_LINES ? 1 : 0;
            assertEquals(limit, firstLimit(meter, 3, lines, folded));
        }
    }

    private static CallerLimit firstLimit(HeadMeter meter, int bytes, int lines, int foldedLines) {
        Optional<CallerLimit> limit = Optional.empty();
        for (int step = 0; limit.isEmpty() && step < 100_000; step++) {
            limit = meter.add(bytes, lines, foldedLines);
        }
        return limit.orElseThrow();
    }
}
