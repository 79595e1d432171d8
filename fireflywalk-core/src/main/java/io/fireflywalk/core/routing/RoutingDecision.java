package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;
import java.util.List;
import java.util.Optional;

/**
 * Result of target selection, with the values on which it was based.
 *
 * @param chosen the selected target; if the request is split, the one that does the prefill
 * @param considered candidates that were compared by requests in flight, including the selected one
 * @param estimates candidates that were compared by expected times, the selected one first
 * @param decodeTarget target that imports the KV cache and decodes, if the request is split
 */
public record RoutingDecision(
        Target chosen, List<TargetLoad> considered, List<CandidateEstimate> estimates, Optional<Target> decodeTarget) {

    public RoutingDecision {
        considered = List.copyOf(considered);
        estimates = List.copyOf(estimates);
    }

    /** Creates the decision of a selector that compares requests in flight only. */
    public RoutingDecision(Target chosen, List<TargetLoad> considered) {
        this(chosen, considered, List.of(), Optional.empty());
    }
}
