package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the runner of a model request. */
@FunctionalInterface
public interface RunnerSelector {

    /**
     * Returns the decision, or empty if no target is eligible.
     *
     * @param request what is known of the request
     * @param targets all targets of the service, leaving ones included
     * @param now monotonic time in nanoseconds
     * @param random source of the sample
     */
    Optional<RoutingDecision> select(RequestFeatures request, List<Target> targets, long now, RandomGenerator random);
}
