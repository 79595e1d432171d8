package io.fireflywalk.core.ingress;

import java.util.LinkedHashMap;
import java.util.Map;

/** Probabilities with which each of several targets has the lowest cost once random parts have been added. Stateless. */
final class JitteredCosts {
    /** Steps of the numerical integration, with which the probabilities are exact to about a hundredth. */
    private static final int STEPS = 64;

    private JitteredCosts() {}

    /**
     * Returns the probability that each target has the lowest cost.
     *
     * @param costs costs of the targets without their random parts
     * @param jitter upper bound of the random parts, which are uniform and independent
     */
    static Map<TargetState, Double> lowestProbabilities(Map<TargetState, Double> costs, double jitter) {
        double lowest =
                costs.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
        Map<TargetState, Double> sums = new LinkedHashMap<>();
        for (int step = 0; step < STEPS; step++) {
            // Above the lowest cost with its full random part no cost can be the lowest.
            double cost = lowest + jitter * (step + 0.5) / STEPS;
            double allAbove = costs.values().stream()
                    .mapToDouble(other -> probabilityAbove(cost, other, jitter))
                    .reduce(1, (first, second) -> first * second);
            costs.forEach((target, base) -> {
                if (base <= cost) {
                    sums.merge(target, allAbove / probabilityAbove(cost, base, jitter), Double::sum);
                }
            });
        }
        double total = sums.values().stream().mapToDouble(Double::doubleValue).sum();
        sums.replaceAll((target, sum) -> sum / total);
        return sums;
    }

    private static double probabilityAbove(double cost, double base, double jitter) {
        return Math.min(1, (base + jitter - cost) / jitter);
    }
}
