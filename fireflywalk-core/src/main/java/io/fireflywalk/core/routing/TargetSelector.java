package io.fireflywalk.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Selects the target of a request among the eligible ones. */
@FunctionalInterface
public interface TargetSelector {

    /** Returns the decision, or empty if there are no candidates. */
    Optional<RoutingDecision> select(List<TargetLoad> candidates, RandomGenerator random);

    /** Returns a selector that picks the less loaded of two random candidates. */
    static TargetSelector powerOfTwoChoices() {
        return (candidates, random) -> {
            if (candidates.isEmpty()) {
                return Optional.empty();
            }
            TargetLoad first = candidates.get(random.nextInt(candidates.size()));
            TargetLoad second = candidates.get(random.nextInt(candidates.size()));
            TargetLoad chosen = second.requestsInFlight() < first.requestsInFlight() ? second : first;
            return Optional.of(new RoutingDecision(chosen.target(), List.of(first, second)));
        };
    }
}
