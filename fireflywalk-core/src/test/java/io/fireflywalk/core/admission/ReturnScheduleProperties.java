package io.fireflywalk.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Guards against callers that return too soon, too late to be served, or all at the same time. */
class ReturnScheduleProperties {

    /** Guards against a time after which the caller does not return: more than a third of what it has left. */
    @Property(seed = "4101", tries = 300)
    void timeIsUsefulToTheCaller(
            @ForAll @IntRange(max = 500) int backlog,
            @ForAll @DoubleRange(min = 0.1, max = 2_000) double rate,
            @ForAll @IntRange(max = 6_000) int remainingMilliseconds) {
        ReturnSchedule schedule = new ReturnSchedule(new Random(backlog));
        Duration remaining = Duration.ofMillis(remainingMilliseconds);
        Duration delay =
                schedule.retryAfter(backlog, rate, Optional.of(remaining), 0).orElseThrow();
        assertTrue(delay.toMillis() >= 50, delay.toString());
        assertTrue(delay.toMillis() <= Math.max(50, remainingMilliseconds / 3), delay.toString());
    }

    /** Guards against refused callers that overtake each other: 40 are refused at once while 20 complete a second. */
    @Example
    void callersReturnAtTheDrainRateAndRoughlyInTheirOrder() {
        ReturnSchedule schedule = new ReturnSchedule(new Random(7));
        long[] delays = new long[40];
        for (int caller = 0; caller < delays.length; caller++) {
            // An explanation names the time of the next caller and does not move it.
            assertEquals(
                    Optional.of(Duration.ofMillis(500 + caller * 50)), schedule.evaluate(10, 20, Optional.empty(), 0));
            delays[caller] = schedule.retryAfter(10, 20, Optional.empty(), 0)
                    .orElseThrow()
                    .toMillis();
            double expected = 500 + caller * 50;
            assertTrue(Math.abs(delays[caller] - expected) <= 0.16 * expected, caller + ": " + delays[caller]);
        }
        assertTrue(delays[39] > delays[0]);
        assertEquals(Optional.empty(), schedule.retryAfter(10, 0, Optional.empty(), 0));
    }

    /** Guards against a rank that is kept for ever, and against memory that callers can fill. */
    @Example
    void returningRequestKeepsItsRankOnceAndMemoryIsBounded() {
        ReturningRequests returning = new ReturningRequests();
        returning.recordRefusal(1, 100);
        assertEquals(100, returning.takeRank(1, 5_000));
        assertEquals(6_000, returning.takeRank(1, 6_000));
        for (long request = 0; request < 100_000; request++) {
            returning.recordRefusal(request, request);
        }
        assertEquals(1024, returning.size());
    }

    /** Guards against a rate that one burst or two old completions feign. */
    @Example
    void completionRateFollowsTheLastSeconds() {
        CompletionRate rate = new CompletionRate();
        assertEquals(0, rate.perSecond(0));
        long now = 0;
        for (; now < 20_000_000_000L; now += 100_000_000L) {
            rate.record(now);
        }
        assertEquals(10, rate.perSecond(now), 0.6);
        assertEquals(0, rate.perSecond(now + 10_000_000_000L));
    }
}
