package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;
import java.util.List;
import java.util.Optional;

/**
 * Outcome of a choice of target, with the figures that decided.
 *
 * @param chosen the chosen target; with a split, the one that computes the prompt
 * @param considered the candidates that were compared by requests in flight, the chosen one included
 * @param estimates the candidates that were compared by expected times, the chosen one first
 * @param decodeTarget the target that imports the KV cache and generates, if the request is split
 */
public record RoutingDecision(
        Target chosen, List<TargetLoad> considered, List<CandidateEstimate> estimates, Optional<Target> decodeTarget) {

    public RoutingDecision {
        considered = List.copyOf(considered);
        estimates = List.copyOf(estimates);
    }

    /** Creates the decision of a selector that knows only requests in flight. */
    public RoutingDecision(Target chosen, List<TargetLoad> considered) {
        this(chosen, considered, List.of(), Optional.empty());
    }
}
