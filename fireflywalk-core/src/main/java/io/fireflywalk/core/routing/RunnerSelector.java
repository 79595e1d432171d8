package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Selects the runner for a model request. */
@FunctionalInterface
public interface RunnerSelector {

    /**
     * Returns the decision, or empty if no target is eligible.
     *
     * @param request properties of the request
     * @param targets all targets of the service, including those that are leaving
     * @param now monotonic time in nanoseconds
     * @param random source of randomness for sampling candidates
     */
    Optional<RoutingDecision> select(RequestFeatures request, List<Target> targets, long now, RandomGenerator random);
}
