package io.fireflywalk.core.ingress;

import static io.fireflywalk.core.ingress.TargetFixture.MILLISECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.ingress.TargetEntry.Stage;
import org.junit.jupiter.api.Test;

/** Guards against sending requests to failing, refusing or leaving targets, and against outdated estimates. */
class TargetStateTest {
    private static final PromptSummary PROMPT = TargetFixture.prompt("part", 13_000, 3_700);

    private final TargetState target = TargetFixture.target("runner", "zone", Stage.DECODE);

    @Test
    void backsOffAfterAFailureAndAllowsOneProbeAtATime() {
        target.failed(0);
        assertFalse(target.available(100 * MILLISECOND));
        assertTrue(target.available(400 * MILLISECOND));
        target.sent();
        assertFalse(target.available(400 * MILLISECOND));
        target.succeeded();
        assertTrue(target.available(400 * MILLISECOND));
    }

    @Test
    void backsOffLongerWithEachConsecutiveRefusal() {
        target.refused(0);
        assertTrue(target.available(310 * MILLISECOND));
        target.refused(310 * MILLISECOND);
        assertFalse(target.available(700 * MILLISECOND));
        target.succeeded();
        target.refused(1000 * MILLISECOND);
        assertTrue(target.available(1310 * MILLISECOND));
    }

    @Test
    void leavingTargetIsNotAvailable() {
        target.update(TargetFixture.entry("runner", "zone", Stage.DECODE, true, false));
        assertFalse(target.available(0));
    }

    @Test
    void restartClearsTheCacheAndTheFailures() {
        target.promptFetched(PROMPT, 1);
        target.promptQueued(PROMPT, 500, 1);
        target.failed(1);
        target.update(
                new TargetEntry("runner", "service", "10.0.0.1", 80, "zone", 8, false, false, Stage.DECODE, 2, 1));
        assertFalse(target.hasOrExpectsPart("part"));
        assertEquals(0, target.prefillWaitMilliseconds(5, 1), 0);
        assertTrue(target.available(2));
    }

    @Test
    void reportWithoutRequestsClearsTheEstimatedWait() {
        target.promptQueued(PROMPT, 500, 0);
        target.promptQueued(PROMPT, 200, 0);
        assertEquals(700, target.prefillWaitMilliseconds(5, 0), 1);
        assertEquals(600, target.prefillWaitMilliseconds(5, 100 * MILLISECOND), 1);
        target.reported(0, 100 * MILLISECOND);
        assertEquals(0, target.prefillWaitMilliseconds(5, 100 * MILLISECOND), 1);
    }

    @Test
    void reportDoesNotClearAPromptInTransit() {
        target.promptQueued(PROMPT, 500, 90 * MILLISECOND);
        target.reported(0, 100 * MILLISECOND);
        assertEquals(490, target.prefillWaitMilliseconds(5, 100 * MILLISECOND), 1);
    }

    @Test
    void withdrawnPromptLeavesNoCachedPart() {
        target.promptQueued(PROMPT, 500, 0);
        assertTrue(target.hasOrExpectsPart("part"));
        assertFalse(target.hasPart("part", 100 * MILLISECOND));
        target.promptWithdrawn(PROMPT, 0, 100 * MILLISECOND);
        assertFalse(target.hasOrExpectsPart("part"));
        assertEquals(0, target.prefillWaitMilliseconds(5, 100 * MILLISECOND), 0);
    }

    @Test
    void reportExpires() {
        target.reported(5, 0);
        target.sent();
        assertEquals(6, target.requests(500 * MILLISECOND));
        assertEquals(1, target.requests(1500 * MILLISECOND));
    }
}
