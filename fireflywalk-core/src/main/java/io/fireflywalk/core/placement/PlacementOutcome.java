package io.fireflywalk.core.placement;

import java.util.List;

/**
 * Result of one run of placement.
 *
 * @param decisions what is to be done, in order
 * @param state state for the next run
 */
public record PlacementOutcome(List<PlacementDecision> decisions, PlacementState state) {

    public PlacementOutcome {
        decisions = List.copyOf(decisions);
    }
}
