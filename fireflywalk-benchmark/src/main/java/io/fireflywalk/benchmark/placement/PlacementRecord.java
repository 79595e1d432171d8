package io.fireflywalk.benchmark.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Record of a measurement.
 *
 * @param seed first seed
 * @param repeats number of seeds
 * @param goals goals and what was measured
 * @param results every run
 */
public record PlacementRecord(long seed, int repeats, List<Goal> goals, List<TrialResult> results) {

    /** Returns the record of the runs. */
    public static PlacementRecord of(long seed, int repeats, List<TrialResult> results) {
        List<Goal> goals = new ArrayList<>();
        goals.add(Goal.atMost(
                "role changes, ratio to threshold",
                1 / 3.0,
                ratios(results, "shifts", "placement", "threshold", TrialResult::roleChanges)));
        goals.add(Goal.atLeast(
                "good answers in shifts, ratio to threshold",
                1,
                ratios(results, "shifts", "placement", "threshold", TrialResult::goodAnswers)));
        goals.add(Goal.atLeast(
                "good answers in shifts, ratio to static roles",
                1,
                ratios(results, "shifts", "placement", "static_roles", TrialResult::goodAnswers)));
        goals.add(Goal.atLeast(
                "good answers in shifts, ratio to static mixed",
                0.95,
                ratios(results, "shifts", "placement", "static_mixed", TrialResult::goodAnswers)));
        goals.add(Goal.atMost(
                "spend per good answer, ratio to static regular",
                0.8,
                ratios(results, "day", "placement", "static_regular", TrialResult::spendPerGoodAnswer)));
        goals.add(Goal.atLeast(
                "good answers in the day, ratio to static regular",
                0.95,
                ratios(results, "day", "placement", "static_regular", TrialResult::goodAnswers)));
        goals.add(Goal.atLeast(
                "movable work on preemptible targets",
                0.9,
                values(results, "day", "placement", TrialResult::movableShareOnPreemptible)));
        goals.add(Goal.atMost("requests lost", 0, values(results, "day", "placement", TrialResult::lost)));
        goals.add(Goal.measured(
                "recovery seconds to 95% after a zone loss",
                values(results, "day", "placement", TrialResult::recoverySeconds)));
        return new PlacementRecord(seed, repeats, goals, results);
    }

    private static List<Double> ratios(
            List<TrialResult> results,
            String scenario,
            String policy,
            String baseline,
            ToDoubleFunction<TrialResult> figure) {
        List<Double> above = values(results, scenario, policy, figure);
        List<Double> below = values(results, scenario, baseline, figure);
        List<Double> ratios = new ArrayList<>();
        for (int index = 0; index < above.size(); index++) {
            ratios.add(above.get(index) / below.get(index));
        }
        return ratios;
    }

    private static List<Double> values(
            List<TrialResult> results, String scenario, String policy, ToDoubleFunction<TrialResult> figure) {
        return results.stream()
                .filter(result ->
                        result.scenario().equals(scenario) && result.policy().equals(policy))
                .map(figure::applyAsDouble)
                .toList();
    }

    /**
     * A goal and the figures of the seeds.
     *
     * @param figure what was measured
     * @param bound bound, with its direction
     * @param median median over the seeds
     * @param least least figure
     * @param greatest greatest figure
     * @param verdict "met" if every seed meets the bound, "missed" otherwise, "measured" without a bound
     */
    public record Goal(String figure, String bound, double median, double least, double greatest, String verdict) {

        static Goal atMost(String figure, double bound, List<Double> values) {
            boolean met = values.stream().allMatch(value -> value <= bound);
            return of(figure, String.format(Locale.ROOT, "at most %.3f", bound), values, met ? "met" : "missed");
        }

        static Goal atLeast(String figure, double bound, List<Double> values) {
            boolean met = values.stream().allMatch(value -> value >= bound);
            return of(figure, String.format(Locale.ROOT, "at least %.3f", bound), values, met ? "met" : "missed");
        }

        static Goal measured(String figure, List<Double> values) {
            return of(figure, "none", values, "measured");
        }

        private static Goal of(String figure, String bound, List<Double> values, String verdict) {
            List<Double> sorted = values.stream().sorted().toList();
            return new Goal(
                    figure,
                    bound,
                    sorted.get(sorted.size() / 2),
                    sorted.get(0),
                    sorted.get(sorted.size() - 1),
                    verdict);
        }

        /** Returns the line of the command's output. */
        public String line() {
            return String.format(
                    Locale.ROOT, "%-52s %.3f (%.3f to %.3f), %s: %s", figure, median, least, greatest, bound, verdict);
        }
    }
}
