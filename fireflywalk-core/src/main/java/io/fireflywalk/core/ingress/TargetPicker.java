package io.fireflywalk.core.ingress;

import io.fireflywalk.core.ingress.DecisionExplanation.Candidate;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a request by load, failure rate and availability zone. Stateless except for the random
 * generator.
 */
public final class TargetPicker {
    /** Cost of another availability zone, as a fraction of a target's slots. */
    private static final double OTHER_ZONE_COST = 0.15;
    /** Cost of a target with a failure rate of 1, as a multiple of its slots. */
    private static final double FAILURE_COST = 4;
    /** Random cost, so that instances with the same view do not all choose the same target. */
    private static final double MAXIMUM_JITTER_COST = 0.05;

    private final RandomGenerator random;

    public TargetPicker(RandomGenerator random) {
        this.random = random;
    }

    /** Chosen target with its estimated cost and the number of eligible targets. */
    public record Choice(TargetState target, double cost, int candidates) {}

    /** Chooses the eligible target with the lowest cost. */
    public Optional<Choice> leastLoaded(
            Collection<TargetState> targets,
            Set<String> excluded,
            int maximumInFlight,
            String availabilityZone,
            long now) {
        TargetState best = null;
        double bestCost = Double.MAX_VALUE;
        int candidates = 0;
        for (TargetState target : targets) {
            if (target.eligibility(excluded, maximumInFlight, now) != Eligibility.ELIGIBLE) {
                continue;
            }
            candidates++;
            double cost = cost(target, availabilityZone, now) + MAXIMUM_JITTER_COST * random.nextDouble();
            if (cost < bestCost) {
                bestCost = cost;
                best = target;
            }
        }
        return best == null ? Optional.empty() : Optional.of(new Choice(best, bestCost, candidates));
    }

    /** Returns the figures of all targets for a request that no attempt has been made for, without a choice. */
    public static TargetEvaluation evaluate(
            Collection<TargetState> targets,
            Set<String> excluded,
            int maximumInFlight,
            String availabilityZone,
            long now) {
        Map<TargetState, Double> costs = new LinkedHashMap<>();
        targets.stream()
                .filter(target -> target.eligibility(excluded, maximumInFlight, now) == Eligibility.ELIGIBLE)
                .forEach(target -> costs.put(target, cost(target, availabilityZone, now)));
        Map<TargetState, Double> probabilities = JitteredCosts.lowestProbabilities(costs, MAXIMUM_JITTER_COST);
        List<Candidate> candidates = targets.stream()
                .map(target -> Candidate.of(
                        target,
                        target.eligibility(excluded, maximumInFlight, now),
                        probabilities.getOrDefault(target, 0.0),
                        Optional.of(cost(target, availabilityZone, now)),
                        Optional.empty(),
                        Optional.empty(),
                        now))
                .toList();
        return new TargetEvaluation("by_load", candidates, Optional.empty(), Optional.empty());
    }

    /** Returns the cost of a target without its random part. */
    private static double cost(TargetState target, String availabilityZone, long now) {
        return target.estimatedRequests(now) / Math.max(1, target.entry().slots())
                + zoneCost(target, availabilityZone)
                + FAILURE_COST * target.failureRate();
    }

    private static double zoneCost(TargetState target, String availabilityZone) {
        return target.entry().availabilityZone().equals(availabilityZone) ? 0 : OTHER_ZONE_COST;
    }
}
