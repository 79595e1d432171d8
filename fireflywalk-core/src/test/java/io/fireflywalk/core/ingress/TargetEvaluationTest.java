package io.fireflywalk.core.ingress;

import static io.fireflywalk.core.ingress.TargetFixture.MILLISECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.ingress.DecisionExplanation.Candidate;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against explanations that differ from what the pickers do, and against explanations that change it. */
class TargetEvaluationTest {
    private static final RequestCost COST = new RequestCost("route", "service", 100, 100, false);
    private static final PromptSummary PROMPT = TargetFixture.prompt("part", 13_000, 3_700);
    private static final long NOW = 10_000 * MILLISECOND;
    private static final int CHOICES = 4000;

    private final ServiceLoad load = new ServiceLoad();
    private final List<TargetState> targets = Stream.of("first", "second", "third")
            .map(name -> TargetFixture.target(name, "zone-a", Stage.WHOLE))
            .toList();

    private TargetEvaluation evaluate(String method, PromptPlacement placement) {
        return switch (method) {
            case "by_work" -> WorkBasedPicker.evaluate(targets, Set.of(), 8, "zone-a", load, COST, NOW);
            case "by_load" -> TargetPicker.evaluate(targets, Set.of(), 8, "zone-a", NOW);
            default -> placement.evaluate(targets, Set.of(), 8, PROMPT, "zone-a", Optional.empty(), NOW);
        };
    }

    private Optional<TargetState> choose(String method, PromptPlacement placement, Random random) {
        return switch (method) {
            case "by_work" ->
                new WorkBasedPicker(random)
                        .choose(targets, Set.of(), 8, "zone-a", load, COST, false, NOW)
                        .map(WorkBasedPicker.WorkChoice::target);
            case "by_load" ->
                new TargetPicker(random)
                        .leastLoaded(targets, Set.of(), 8, "zone-a", NOW)
                        .map(TargetPicker.Choice::target);
            default ->
                placement.choose(targets, Set.of(), 8, PROMPT, "zone-a", NOW).map(PromptPlacement.Placement::target);
        };
    }

    /** The evaluation before each choice must not shift the random numbers of the choice either. */
    @ParameterizedTest
    @CsvSource({"by_work, 0.02", "by_load, 0.02", "prompt_placement, 0.02"})
    void probabilitiesAreThoseOfTheChoices(String method, double tolerance) {
        load.recordReport(targets.get(0), new ServerLoad(4, 0, 8, 60), false, 0);
        load.recordReport(targets.get(1), new ServerLoad(4, 0, 8, 160), false, 0);
        targets.get(2).recordFailure(0);
        targets.get(2).recordSuccess();
        for (int success = 0; success < 30; success++) {
            targets.get(2).recordSuccess();
        }
        Random random = new Random(3);
        Random undisturbed = new Random(3);
        PromptPlacement placement = new PromptPlacement(RunnerLatencyModel.defaults(), random);
        PromptPlacement other = new PromptPlacement(RunnerLatencyModel.defaults(), undisturbed);
        List<Candidate> candidates = evaluate(method, placement).candidates();
        int[] chosen = new int[targets.size()];
        for (int index = 0; index < CHOICES; index++) {
            evaluate(method, placement);
            TargetState target = choose(method, placement, random).orElseThrow();
            assertEquals(target, choose(method, other, undisturbed).orElseThrow());
            chosen[targets.indexOf(target)]++;
        }
        for (int index = 0; index < chosen.length; index++) {
            assertEquals(candidates.get(index).probability(), chosen[index] / (double) CHOICES, tolerance);
        }
    }

    static Stream<Arguments> ineligibleTargets() {
        Consumer<TargetState> full = target -> target.recordFull(50, NOW);
        Consumer<TargetState> manyRequests =
                target -> Stream.generate(() -> target).limit(8).forEach(TargetState::recordSent);
        Consumer<TargetState> heldOff = target -> target.recordHoldOff(MILLISECOND, NOW);
        Consumer<TargetState> refused = target -> target.recordRefusal(NOW);
        Consumer<TargetState> stageChange = target -> target.recordStageChange(MILLISECOND, NOW);
        Consumer<TargetState> failed = target -> target.recordFailure(NOW);
        Consumer<TargetState> probed = target -> {
            target.recordFailure(0);
            target.recordSent();
        };
        return Stream.of(
                Arguments.of(Eligibility.LEAVING, (Consumer<TargetState>) TargetState::recordLeaving),
                Arguments.of(Eligibility.PAUSED, heldOff),
                Arguments.of(Eligibility.PAUSED, refused),
                Arguments.of(Eligibility.PAUSED, stageChange),
                Arguments.of(Eligibility.CIRCUIT_OPEN, failed),
                Arguments.of(Eligibility.CIRCUIT_OPEN, probed),
                Arguments.of(Eligibility.FULL, full),
                Arguments.of(Eligibility.FULL, manyRequests));
    }

    @ParameterizedTest
    @MethodSource("ineligibleTargets")
    void ineligibleTargetIsNamedWithItsReasonAndNeverChosen(Eligibility reason, Consumer<TargetState> event) {
        targets.forEach(event);
        PromptPlacement placement = new PromptPlacement(RunnerLatencyModel.defaults(), new Random(1));
        for (String method : List.of("by_work", "by_load", "prompt_placement")) {
            TargetEvaluation evaluation = evaluate(method, placement);
            assertEquals(
                    List.of(reason.code(), reason.code(), reason.code()),
                    evaluation.candidates().stream().map(Candidate::eligibility).toList());
            assertTrue(!evaluation.hasEligible()
                    && choose(method, placement, new Random(1)).isEmpty());
        }
    }

    /** Of two costs at a distance of d jitters, the higher one is the lowest with a probability of (1 - d)^2 / 2. */
    @ParameterizedTest
    @CsvSource({"0, 0.5", "0.02, 0.18", "0.04, 0.02", "0.06, 0"})
    void probabilityFollowsTheDistanceOfCosts(double distance, double probability) {
        Map<TargetState, Double> probabilities =
                JitteredCosts.lowestProbabilities(Map.of(targets.get(0), 1.0, targets.get(1), 1.0 + distance), 0.05);
        assertEquals(probability, probabilities.getOrDefault(targets.get(1), 0.0), 0.01);
    }

    /** An explanation must not begin to record the load of a service, which could displace that of another one. */
    @Test
    void evaluationOfAnUnknownServiceIsNotRecorded() {
        ServiceLoads loads = new ServiceLoads(true);
        ServiceLoad evaluated = loads.evaluate("service").orElseThrow();
        assertTrue(evaluated != loads.byWork("service").orElseThrow());
        assertEquals(loads.byWork("service"), loads.evaluate("service"));
    }
}
