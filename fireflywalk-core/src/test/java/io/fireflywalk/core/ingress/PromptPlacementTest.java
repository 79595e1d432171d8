package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against recomputing cached shared parts and against queueing prompts while another runner is idle. */
class PromptPlacementTest {
    private static final PromptSummary PROMPT = TargetFixture.prompt("part", 13_000, 3_700);
    private static final long SECOND = 1000 * TargetFixture.MILLISECOND;

    private final PromptPlacement placement = new PromptPlacement(RunnerLatencyModel.defaults(), new Random(1));
    private final TargetState first = TargetFixture.target("first", "zone-a", Stage.PREFILL);
    private final TargetState second = TargetFixture.target("second", "zone-a", Stage.PREFILL);
    private final TargetState decodeRunner = TargetFixture.target("decode", "zone-a", Stage.DECODE);
    private final List<TargetState> targets = List.of(first, second, decodeRunner);

    private Placement choose(List<TargetState> candidates) {
        return placement
                .choose(candidates, Set.of(), 10, PROMPT, "zone-a", SECOND)
                .orElseThrow();
    }

    @Test
    void instancesChooseTheSameHomeForAnUncachedPart() {
        PromptPlacement other = new PromptPlacement(RunnerLatencyModel.defaults(), new Random(2));
        assertEquals(
                choose(targets).target(),
                other.choose(targets, Set.of(), 10, PROMPT, "zone-a", SECOND)
                        .orElseThrow()
                        .target());
    }

    @Test
    void runnerThatHasThePartGetsThePrompt() {
        second.recordPrefillQueued(PROMPT, 0, 0);
        Placement chosen = choose(targets);
        assertEquals(second, chosen.target());
        assertEquals(Optional.empty(), chosen.fetchFrom());
    }

    @Test
    void idleRunnerFetchesThePartWhenItsHolderIsBusy() {
        second.recordPrefillQueued(PROMPT, 400, 0);
        second.recordPrefillQueued(TargetFixture.prompt("other", 13_000, 3_700), 1000, SECOND);
        Placement chosen = choose(targets);
        assertEquals(first, chosen.target());
        assertEquals(Optional.of(second), chosen.fetchFrom());
        assertTrue(chosen.prefillMilliseconds() < RunnerLatencyModel.defaults().prefillMilliseconds(13_000, 0, false));
    }

    @Test
    void partIsNotFetchedWhileItsPrefillIsPending() {
        second.recordPrefillQueued(PROMPT, 200, SECOND);
        Placement chosen = choose(targets);
        assertEquals(second, chosen.target());
        assertEquals(Optional.empty(), chosen.fetchFrom());
        assertEquals(Optional.empty(), choose(List.of(first, decodeRunner)).fetchFrom());
    }

    @Test
    void noPlacementOnPrefillRunnersWithoutADecodeRunner() {
        assertTrue(placement
                .choose(List.of(first, second), Set.of(), 10, PROMPT, "zone-a", SECOND)
                .isEmpty());
    }

    @Test
    void decodeRunnerPrefillsWithoutAPrefillRunner() {
        assertEquals(decodeRunner, choose(List.of(decodeRunner)).target());
    }

    @ParameterizedTest
    @CsvSource({"500, 400, false", "700, 600, true", "1500, 400, true", "1500, 100, false", "1500, 0, false"})
    void refusesOnlyWhenTheWaitCausesTheMiss(double total, double wait, boolean expected) {
        Placement estimate = new Placement(first, Optional.empty(), total, wait, total - wait, 1, 1);
        assertEquals(expected, estimate.waitMissesObjective(600, 0));
    }
}
