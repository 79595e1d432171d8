package io.fireflywalk.daemon.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.RunState;
import io.fireflywalk.daemon.claim.ClaimFleet.Node;
import io.fireflywalk.daemon.claim.ClaimFleet.Outcome;
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
 * Guards claimed requests against a second run, and callers against a wrong answer or a wrong run state, while
 * instances die, the store loses answers or is out, and peer messages are lost, late or repeated.
 */
class ClaimProperties {
    private static final List<String> KEYS = List.of("k1", "k2", "k3");
    private static final int INSTANCES = 4;
    private static final long SETTLE_SECONDS = 60;

    @Property(tries = 600)
    void claimedRequestRunsAtMostOnceAndItsRetryGetsTheRightOutcome(
            @ForAll("calls") List<Step> steps, @ForAll long seed) {
        ClaimFleet fleet = new ClaimFleet(seed, INSTANCES);
        for (Step step : steps) {
            apply(fleet, step);
        }
        endFaults(fleet);

        for (String key : KEYS) {
            int runs = fleet.runs.getOrDefault(key + "a", 0) + fleet.runs.getOrDefault(key + "b", 0);
            assertTrue(runs <= 1, key + " ran " + runs + " times");
        }
        fleet.outcomes.forEach(ClaimProperties::requireTrue);
    }

    /** A refusal for lack of the store must not leave the key claimed by a request that never runs. */
    @Property(tries = 300)
    void keyOfRequestThatWasNotRunCanBeUsedAfterRecovery(@ForAll("calls") List<Step> steps, @ForAll long seed) {
        ClaimFleet fleet = new ClaimFleet(seed, INSTANCES);
        for (Step step : steps) {
            if (step.kind() != Kind.KILL) {
                apply(fleet, step);
            }
        }
        endFaults(fleet);
        Set<String> ran = new HashSet<>(fleet.runs.keySet());
        for (String key : KEYS) {
            if (!ran.contains(key + "a") && !ran.contains(key + "b")) {
                fleet.call(fleet.alive().get(0), key, "a", RunState.RUN);
                fleet.scheduler.advanceTimeBy(SETTLE_SECONDS, TimeUnit.SECONDS);
                assertEquals(1, fleet.runs.getOrDefault(key + "a", 0), key + " is still claimed");
            }
        }
    }

    @Provide
    Arbitrary<List<Step>> calls() {
        Arbitrary<Kind> kinds = Arbitraries.frequency(
                Tuple.of(30, Kind.CALL),
                Tuple.of(20, Kind.ADVANCE),
                Tuple.of(4, Kind.LOSE_STORE_ANSWERS),
                Tuple.of(3, Kind.STORE_OUTAGE),
                Tuple.of(4, Kind.LOSE_PEER_MESSAGES),
                Tuple.of(4, Kind.KILL));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, 9999))
                .as(Step::new)
                .list()
                .ofMaxSize(60);
    }

    private static void requireTrue(Outcome outcome) {
        if (outcome.answer().isPresent()) {
            assertEquals(
                    ClaimFleet.answerTo(outcome.key(), outcome.request()),
                    outcome.answer().get());
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
            assertEquals(1, outcome.runsAfter(), "told that an unrun request was run");
        }
        // A refused claim starts no run, and a mismatch tells that this request did not run under the key.
        if (kind == ErrorKind.CLAIM_MISMATCH) {
            assertEquals(0, outcome.runsAfter(), "told not run, but ran");
        }
    }

    private static void apply(ClaimFleet fleet, Step step) {
        int value = step.value();
        List<Node> alive = fleet.alive();
        Node node = alive.get(value % alive.size());
        switch (step.kind()) {
            case CALL -> {
                RunState failure =
                        value % 10 == 0 ? RunState.UNKNOWN : value % 10 < 4 ? RunState.NOT_RUN : RunState.RUN;
                fleet.call(node, KEYS.get(value / 10 % KEYS.size()), value % 11 == 0 ? "b" : "a", failure);
                fleet.scheduler.advanceTimeBy(value % 30, TimeUnit.MILLISECONDS);
            }
            case ADVANCE -> fleet.scheduler.advanceTimeBy(value / 2, TimeUnit.MILLISECONDS);
            case LOSE_STORE_ANSWERS -> fleet.tables.loseAnswers(value % 60);
            case STORE_OUTAGE -> fleet.tables.setOut(value % 3 != 0);
            case LOSE_PEER_MESSAGES -> fleet.lostMessages = value % 80;
            case KILL -> {
                node.kill();
                fleet.startNode();
            }
            default -> throw new IllegalStateException(step.toString());
        }
    }

    private static void endFaults(ClaimFleet fleet) {
        fleet.tables.loseAnswers(0);
        fleet.tables.setOut(false);
        fleet.lostMessages = 0;
        fleet.scheduler.advanceTimeBy(SETTLE_SECONDS, TimeUnit.SECONDS);
    }

    /** Kind of step. */
    enum Kind {
        CALL,
        ADVANCE,
        LOSE_STORE_ANSWERS,
        STORE_OUTAGE,
        LOSE_PEER_MESSAGES,
        KILL
    }

    /** One step of a run; the value chooses its instance and size. */
    record Step(Kind kind, int value) {}
}
