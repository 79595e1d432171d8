package io.fireflywalk.core.placement;

import java.util.Map;

/**
 * What placement remembers between two runs. A successor that takes over the lease starts from the recorded pending
 * changes; the rest is only damping and may start empty.
 *
 * @param pending pending change by runner
 * @param lastChange monotonic time of the last ended change by runner
 * @param surplusSince monotonic time since which a pool of targets has a surplus
 * @param zoneLost monotonic time at which a zone was last under notice or unreachable
 * @param budget weight-store budget
 * @param nextChange number of the next change
 */
public record PlacementState(
        Map<String, PendingChange> pending,
        Map<String, Long> lastChange,
        Map<TargetPool, Long> surplusSince,
        Map<String, Long> zoneLost,
        WeightStoreBudget budget,
        long nextChange) {

    public PlacementState {
        pending = Map.copyOf(pending);
        lastChange = Map.copyOf(lastChange);
        surplusSince = Map.copyOf(surplusSince);
        zoneLost = Map.copyOf(zoneLost);
    }

    /** Returns a state without pending changes. */
    public static PlacementState initial(WeightStoreBudget budget) {
        return new PlacementState(Map.of(), Map.of(), Map.of(), Map.of(), budget, 1);
    }
}
