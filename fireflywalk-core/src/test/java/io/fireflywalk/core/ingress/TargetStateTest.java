package io.fireflywalk.core.ingress;

import static io.fireflywalk.core.ingress.TargetFixture.MILLISECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.ingress.TargetEntry.Stage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against sending requests to failing, refusing or leaving targets, and against outdated estimates. */
class TargetStateTest {
    private static final PromptSummary PROMPT = TargetFixture.prompt("part", 13_000, 3_700);

    private final TargetState target = TargetFixture.target("runner", "zone", Stage.DECODE);

    @Test
    void backsOffAfterAFailureAndAllowsOneProbeAtATime() {
        target.recordFailure(0);
        assertFalse(target.available(100 * MILLISECOND));
        assertTrue(target.available(400 * MILLISECOND));
        target.recordSent();
        assertFalse(target.available(400 * MILLISECOND));
        target.recordSuccess();
        assertTrue(target.available(400 * MILLISECOND));
    }

    @Test
    void backsOffLongerWithEachConsecutiveRefusal() {
        target.recordRefusal(0);
        assertTrue(target.available(310 * MILLISECOND));
        target.recordRefusal(310 * MILLISECOND);
        assertFalse(target.available(700 * MILLISECOND));
        target.recordSuccess();
        target.recordRefusal(1000 * MILLISECOND);
        assertTrue(target.available(1310 * MILLISECOND));
    }

    @ParameterizedTest
    @CsvSource({"DECODE, 100, false", "DECODE, 3600, true", "PREFILL, 100, true"})
    void targetThatChangesItsStageGetsNoRequestsUntilItsEntryShowsTheNewOne(
            Stage stage, long milliseconds, boolean available) {
        target.recordStageChange(3500 * MILLISECOND, 0);
        target.recordReport(0, 0);
        target.update(TargetFixture.entry("runner", "zone", stage, false, false));
        assertEquals(available, target.available(milliseconds * MILLISECOND));
    }

    @Test
    void leavingTargetIsNotAvailable() {
        target.update(TargetFixture.entry("runner", "zone", Stage.DECODE, true, false));
        assertFalse(target.available(0));
    }

    @Test
    void restartClearsTheCacheAndTheFailures() {
        target.recordKvCacheFetched(PROMPT, 1);
        target.recordPrefillQueued(PROMPT, 500, 1);
        target.recordFailure(1);
        target.update(
                new TargetEntry("runner", "service", "10.0.0.1", 80, "zone", 8, false, false, Stage.DECODE, 2, 1));
        assertFalse(target.hasOrExpectsPart("part"));
        assertEquals(0, target.prefillWaitMilliseconds(5, 1), 0);
        assertTrue(target.available(2));
    }

    @Test
    void reportWithoutRequestsClearsTheEstimatedWait() {
        target.recordPrefillQueued(PROMPT, 500, 0);
        target.recordPrefillQueued(PROMPT, 200, 0);
        assertEquals(700, target.prefillWaitMilliseconds(5, 0), 1);
        assertEquals(600, target.prefillWaitMilliseconds(5, 100 * MILLISECOND), 1);
        target.recordReport(0, 100 * MILLISECOND);
        assertEquals(0, target.prefillWaitMilliseconds(5, 100 * MILLISECOND), 1);
    }

    @Test
    void reportDoesNotClearAPromptInTransit() {
        target.recordPrefillQueued(PROMPT, 500, 90 * MILLISECOND);
        target.recordReport(0, 100 * MILLISECOND);
        assertEquals(490, target.prefillWaitMilliseconds(5, 100 * MILLISECOND), 1);
    }

    @Test
    void cancelledPrefillLeavesNoCachedPart() {
        target.recordPrefillQueued(PROMPT, 500, 0);
        assertTrue(target.hasOrExpectsPart("part"));
        assertFalse(target.hasPart("part", 100 * MILLISECOND));
        target.recordPrefillCancelled(PROMPT, 0, 100 * MILLISECOND);
        assertFalse(target.hasOrExpectsPart("part"));
        assertEquals(0, target.prefillWaitMilliseconds(5, 100 * MILLISECOND), 0);
    }

    @Test
    void reportExpires() {
        target.recordReport(5, 0);
        target.recordSent();
        assertEquals(6, target.estimatedRequests(500 * MILLISECOND));
        assertEquals(1, target.estimatedRequests(1500 * MILLISECOND));
    }

    @Test
    void announcementOfLeavingHoldsUntilTheTargetRestarts() {
        assertTrue(target.recordLeaving());
        assertFalse(target.recordLeaving());
        assertFalse(target.available(0));
        target.update(TargetFixture.entry("runner", "zone", Stage.DECODE, false, false));
        assertFalse(target.acceptsRequests(0));
        target.update(restarted());
        assertTrue(target.available(0));
    }

    /** The second time does not shorten the first, and may lengthen it. */
    @ParameterizedTest
    @CsvSource({"4000, 1000, 4000", "1000, 4000, 4100", "2000, 1900, 2000"})
    void targetIsHeldOffForTheLongestTimeThatItStated(long first, long second, long end) {
        target.recordHoldOff(first * MILLISECOND, 0);
        target.recordHoldOff(second * MILLISECOND, 100 * MILLISECOND);
        assertFalse(target.available((end - 1) * MILLISECOND));
        assertTrue(target.available(end * MILLISECOND));
        assertEquals(0, target.failureRate());
    }

    @Test
    void targetThatWantsNoRequestsKeepsItsCacheAndARestartEndsTheTime() {
        target.recordKvCacheFetched(PROMPT, 1);
        target.recordHoldOff(4000 * MILLISECOND, 1);
        target.update(TargetFixture.entry("runner", "zone", Stage.DECODE, false, false));
        assertFalse(target.available(2));
        assertTrue(target.hasPart("part", 2));
        target.update(restarted());
        assertTrue(target.available(2));
    }

    private static TargetEntry restarted() {
        return new TargetEntry("runner", "service", "10.0.0.1", 80, "zone", 8, false, false, Stage.DECODE, 2, 1);
    }
}
