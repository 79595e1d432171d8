package io.fireflywalk.benchmark.placement;

import io.fireflywalk.core.placement.FleetView;
import io.fireflywalk.core.placement.PlacementDecision;
import java.util.List;

/** A policy under measurement. */
@FunctionalInterface
public interface PlacementPolicy {

    /** Returns the decisions at a virtual time in nanoseconds. */
    List<PlacementDecision> decide(FleetView view, long now);

    /** Returns the policy that changes nothing. */
    static PlacementPolicy unchanged() {
        return (view, now) -> List.of();
    }
}
