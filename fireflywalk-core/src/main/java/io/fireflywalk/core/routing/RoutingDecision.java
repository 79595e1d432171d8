package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;
import java.util.List;

/**
 * Outcome of a choice of target, with the figures that decided.
 *
 * @param chosen the chosen target
 * @param considered the candidates that were compared, the chosen one included
 */
public record RoutingDecision(Target chosen, List<TargetLoad> considered) {

    public RoutingDecision {
        considered = List.copyOf(considered);
    }
}
