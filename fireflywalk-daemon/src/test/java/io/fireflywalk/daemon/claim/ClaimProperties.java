package io.fireflywalk.daemon.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.RunState;
import io.fireflywalk.daemon.claim.ClaimFleet.CallOutcome;
import io.fireflywalk.daemon.claim.ClaimFleet.Instance;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/**
 * Tests that a claimed request is executed at most once and that callers get the right response and run state, while
 * instances die, the store loses responses or is unavailable, and peer messages are lost, late or duplicated.
 */
class ClaimProperties {
    private static final List<String> KEYS = List.of("k1", "k2", "k3");
    private static final int INSTANCE_COUNT = 4;
    private static final long RECOVERY_SECONDS = 60;

    @Property(tries = 600)
    void claimedRequestIsExecutedAtMostOnceAndItsRetryGetsTheRightOutcome(
            @ForAll("steps") List<Step> steps, @ForAll long seed) {
        ClaimFleet fleet = new ClaimFleet(seed, INSTANCE_COUNT);
        for (Step step : steps) {
            apply(fleet, step);
        }
        endFaultsAndRecover(fleet);

        for (String key : KEYS) {
            int executions = fleet.executions.getOrDefault(key + "a", 0) + fleet.executions.getOrDefault(key + "b", 0);
            assertTrue(executions <= 1, key + " was executed " + executions + " times");
        }
        fleet.outcomes.forEach(ClaimProperties::assertConsistent);
    }

    /** A refusal during a store outage must not leave the key claimed by a request that is never executed. */
    @Property(tries = 300)
    void keyOfRequestThatWasNotExecutedCanBeUsedAfterRecovery(@ForAll("steps") List<Step> steps, @ForAll long seed) {
        ClaimFleet fleet = new ClaimFleet(seed, INSTANCE_COUNT);
        for (Step step : steps) {
            if (step.kind() != StepKind.KILL) {
                apply(fleet, step);
            }
        }
        endFaultsAndRecover(fleet);
        Set<String> executedRequests = new HashSet<>(fleet.executions.keySet());
        for (String key : KEYS) {
            if (!executedRequests.contains(key + "a") && !executedRequests.contains(key + "b")) {
                fleet.call(fleet.liveInstances().get(0), key, "a", RunState.RUN);
                fleet.scheduler.advanceTimeBy(RECOVERY_SECONDS, TimeUnit.SECONDS);
                assertEquals(1, fleet.executions.getOrDefault(key + "a", 0), key + " is still claimed");
            }
        }
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<StepKind> kinds = Arbitraries.frequency(
                Tuple.of(30, StepKind.CALL),
                Tuple.of(20, StepKind.ADVANCE),
                Tuple.of(4, StepKind.LOSE_STORE_ANSWERS),
                Tuple.of(3, StepKind.STORE_OUTAGE),
                Tuple.of(4, StepKind.LOSE_PEER_MESSAGES),
                Tuple.of(4, StepKind.KILL));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, 9999))
                .as(Step::new)
                .list()
                .ofMaxSize(60);
    }

    private static void assertConsistent(CallOutcome outcome) {
        if (outcome.response().isPresent()) {
            assertEquals(
                    ClaimFleet.responseTo(outcome.key(), outcome.request()),
                    outcome.response().get());
            return;
        }
        ErrorKind kind = outcome.error().orElseThrow().kind();
        RunState runState = outcome.error().get().runState();
        assertTrue(
                Set.of(
                                ErrorKind.CLAIM_IN_PROGRESS,
                                ErrorKind.OUTCOME_UNKNOWN,
                                ErrorKind.CLAIM_MISMATCH,
                                ErrorKind.STORE_UNAVAILABLE)
                        .contains(kind),
                kind.name());
        if (runState == RunState.RUN) {
            assertEquals(
                    1, outcome.executionsAfter(), "the caller got run state RUN for a request that was not executed");
        }
        // A refused claim starts no execution, and a mismatch means that the key belongs to another request.
        if (kind == ErrorKind.CLAIM_MISMATCH) {
            assertEquals(0, outcome.executionsAfter(), "the caller got a mismatch for a request that was executed");
        }
    }

    private static void apply(ClaimFleet fleet, Step step) {
        int value = step.value();
        List<Instance> liveInstances = fleet.liveInstances();
        Instance instance = liveInstances.get(value % liveInstances.size());
        switch (step.kind()) {
            case CALL -> {
                RunState failure =
                        value % 10 == 0 ? RunState.UNKNOWN : value % 10 < 4 ? RunState.NOT_RUN : RunState.RUN;
                fleet.call(instance, KEYS.get(value / 10 % KEYS.size()), value % 11 == 0 ? "b" : "a", failure);
                fleet.scheduler.advanceTimeBy(value % 30, TimeUnit.MILLISECONDS);
            }
            case ADVANCE -> fleet.scheduler.advanceTimeBy(value / 2, TimeUnit.MILLISECONDS);
            case LOSE_STORE_ANSWERS -> fleet.tables.setLostResponsePercent(value % 60);
            case STORE_OUTAGE -> fleet.tables.setUnavailable(value % 3 != 0);
            case LOSE_PEER_MESSAGES -> fleet.messageLossPercent = value % 80;
            case KILL -> {
                instance.kill();
                fleet.startInstance();
            }
            default -> throw new IllegalStateException(step.toString());
        }
    }

    private static void endFaultsAndRecover(ClaimFleet fleet) {
        fleet.tables.setLostResponsePercent(0);
        fleet.tables.setUnavailable(false);
        fleet.messageLossPercent = 0;
        fleet.scheduler.advanceTimeBy(RECOVERY_SECONDS, TimeUnit.SECONDS);
    }

    enum StepKind {
        CALL,
        ADVANCE,
        LOSE_STORE_ANSWERS,
        STORE_OUTAGE,
        LOSE_PEER_MESSAGES,
        KILL
    }

    /** One step of a test case; the value selects its instance and its parameters. */
    record Step(StepKind kind, int value) {}
}
