package io.fireflywalk.daemon.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.claim.ClaimOperation;
import io.fireflywalk.core.claim.ClaimRecord;
import io.fireflywalk.core.claim.ClaimResult;
import io.fireflywalk.core.claim.ClaimState;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.RunState;
import io.fireflywalk.daemon.claim.ClaimFleet.Node;
import io.fireflywalk.daemon.claim.ClaimFleet.Outcome;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards what a retry under an idempotency key is told at another instance. */
class ClaimServiceTest {
    private final ClaimFleet fleet = new ClaimFleet(7, 4);
    private final Node first = fleet.nodes.get(0);
    private final Node second = fleet.nodes.get(1);

    @ParameterizedTest
    @ValueSource(strings = {"a", "b"})
    void retryElsewhereGetsTheStoredAnswerFromRowOrObjectStore(String request) {
        fleet.call(first, "key", request, RunState.RUN);
        seconds(5);
        fleet.call(second, "key", request, RunState.RUN);
        seconds(5);
        assertEquals(ClaimFleet.answerTo("key", request), outcome().answer().orElseThrow());
        assertEquals(1, fleet.runs.get("key" + request));
    }

    @Test
    void retryWhileTheFirstRequestRunsIsTold() {
        fleet.call(first, "key", "a", RunState.RUN);
        fleet.call(second, "key", "a", RunState.RUN);
        milliseconds(60);
        assertEquals(
                ErrorKind.CLAIM_IN_PROGRESS, outcome().error().orElseThrow().kind());
    }

    @Test
    void retryAfterTheHolderDiedIsToldThatTheOutcomeIsUnknown() {
        fleet.call(first, "key", "a", RunState.RUN);
        milliseconds(60);
        first.kill();
        seconds(5);
        fleet.call(second, "key", "a", RunState.RUN);
        seconds(5);
        assertEquals(ErrorKind.OUTCOME_UNKNOWN, outcome().error().orElseThrow().kind());
        assertEquals(1, fleet.runs.get("keya"));
    }

    @Test
    void anotherRequestUnderTheKeyIsRefused() {
        fleet.call(first, "key", "a", RunState.RUN);
        seconds(5);
        fleet.call(second, "key", "other", RunState.RUN);
        seconds(5);
        assertEquals(ErrorKind.CLAIM_MISMATCH, outcome().error().orElseThrow().kind());
    }

    @Test
    void storeOutageRefusesBeforeTheRunAndFreesTheKeyAfterwards() {
        fleet.tables.setOut(true);
        fleet.call(first, "key", "a", RunState.RUN);
        seconds(20);
        assertEquals(
                ErrorKind.STORE_UNAVAILABLE, outcome().error().orElseThrow().kind());
        assertEquals(RunState.NOT_RUN, outcome().error().orElseThrow().runState());
        assertTrue(fleet.runs.isEmpty());
        fleet.tables.setOut(false);
        seconds(20);
        fleet.call(second, "key", "a", RunState.RUN);
        seconds(5);
        assertEquals(1, fleet.runs.get("keya"));
    }

    @Test
    void delayedMessageOfReleasedClaimDoesNotTakeTheKeyAgain() {
        ClaimRecord claim = new ClaimRecord(ClaimState.IN_PROGRESS, "a", "i9", "token", 0, Optional.empty());
        ClaimRecord released = claim.with(ClaimState.RELEASED, Optional.empty());
        assertEquals(ClaimResult.Kind.DONE, commit(new ClaimOperation("county/key", released, 0)));
        assertEquals(ClaimResult.Kind.SUPERSEDED, commit(new ClaimOperation("county/key", claim, 0)));
    }

    private ClaimResult.Kind commit(ClaimOperation operation) {
        var result = first.committer.submit(operation).test();
        seconds(1);
        return result.values().get(0).kind();
    }

    private Outcome outcome() {
        assertEquals(1, fleet.outcomes.size(), () -> fleet.outcomes.toString());
        return fleet.outcomes.get(0);
    }

    private void seconds(long count) {
        fleet.scheduler.advanceTimeBy(count, TimeUnit.SECONDS);
    }

    private void milliseconds(long count) {
        fleet.scheduler.advanceTimeBy(count, TimeUnit.MILLISECONDS);
    }
}
