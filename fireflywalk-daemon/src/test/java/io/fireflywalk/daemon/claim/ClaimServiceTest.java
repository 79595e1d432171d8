package io.fireflywalk.daemon.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.claim.ClaimOperation;
import io.fireflywalk.core.claim.ClaimRecord;
import io.fireflywalk.core.claim.ClaimResult;
import io.fireflywalk.core.claim.ClaimState;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.RunState;
import io.fireflywalk.daemon.claim.ClaimFleet.CallOutcome;
import io.fireflywalk.daemon.claim.ClaimFleet.Instance;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the result of a retry with the same idempotency key at another instance. */
class ClaimServiceTest {
    private final ClaimFleet fleet = new ClaimFleet(7, 4);
    private final Instance first = fleet.instances.get(0);
    private final Instance second = fleet.instances.get(1);

    @ParameterizedTest
    @ValueSource(strings = {"a", "b"})
    void retryAtAnotherInstanceGetsTheResponseFromRowOrObjectStore(String request) {
        fleet.call(first, "key", request, RunState.RUN);
        advanceSeconds(5);
        fleet.call(second, "key", request, RunState.RUN);
        advanceSeconds(5);
        assertEquals(
                ClaimFleet.responseTo("key", request), onlyOutcome().response().orElseThrow());
        assertEquals(1, fleet.executions.get("key" + request));
    }

    @Test
    void retryDuringTheFirstRequestGetsClaimInProgress() {
        fleet.call(first, "key", "a", RunState.RUN);
        fleet.call(second, "key", "a", RunState.RUN);
        advanceMilliseconds(60);
        assertEquals(
                ErrorKind.CLAIM_IN_PROGRESS, onlyOutcome().error().orElseThrow().kind());
    }

    @Test
    void retryAfterTheHolderDiedGetsOutcomeUnknown() {
        fleet.call(first, "key", "a", RunState.RUN);
        advanceMilliseconds(60);
        first.kill();
        advanceSeconds(5);
        fleet.call(second, "key", "a", RunState.RUN);
        advanceSeconds(5);
        assertEquals(
                ErrorKind.OUTCOME_UNKNOWN, onlyOutcome().error().orElseThrow().kind());
        assertEquals(1, fleet.executions.get("keya"));
    }

    @Test
    void differentRequestWithTheSameKeyIsRefused() {
        fleet.call(first, "key", "a", RunState.RUN);
        advanceSeconds(5);
        fleet.call(second, "key", "other", RunState.RUN);
        advanceSeconds(5);
        assertEquals(
                ErrorKind.CLAIM_MISMATCH, onlyOutcome().error().orElseThrow().kind());
    }

    @Test
    void requestIsRefusedDuringStoreOutageAndItsKeyIsReleasedAfterwards() {
        fleet.tables.setUnavailable(true);
        fleet.call(first, "key", "a", RunState.RUN);
        advanceSeconds(20);
        assertEquals(
                ErrorKind.STORE_UNAVAILABLE, onlyOutcome().error().orElseThrow().kind());
        assertEquals(RunState.NOT_RUN, onlyOutcome().error().orElseThrow().runState());
        assertTrue(fleet.executions.isEmpty());
        fleet.tables.setUnavailable(false);
        advanceSeconds(20);
        fleet.call(second, "key", "a", RunState.RUN);
        advanceSeconds(5);
        assertEquals(1, fleet.executions.get("keya"));
    }

    @Test
    void delayedMessageOfReleasedClaimDoesNotClaimTheKeyAgain() {
        ClaimRecord claim = new ClaimRecord(ClaimState.IN_PROGRESS, "a", "i9", "token", 0, Optional.empty());
        ClaimRecord released = claim.with(ClaimState.RELEASED, Optional.empty());
        assertEquals(ClaimResult.Kind.DONE, commit(new ClaimOperation("county/key", released, 0)));
        assertEquals(ClaimResult.Kind.SUPERSEDED, commit(new ClaimOperation("county/key", claim, 0)));
    }

    private ClaimResult.Kind commit(ClaimOperation operation) {
        var result = first.committer.submit(operation).test();
        advanceSeconds(1);
        return result.values().get(0).kind();
    }

    private CallOutcome onlyOutcome() {
        assertEquals(1, fleet.outcomes.size(), () -> fleet.outcomes.toString());
        return fleet.outcomes.get(0);
    }

    private void advanceSeconds(long count) {
        fleet.scheduler.advanceTimeBy(count, TimeUnit.SECONDS);
    }

    private void advanceMilliseconds(long count) {
        fleet.scheduler.advanceTimeBy(count, TimeUnit.MILLISECONDS);
    }
}
