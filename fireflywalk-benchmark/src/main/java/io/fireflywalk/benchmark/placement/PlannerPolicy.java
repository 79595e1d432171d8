package io.fireflywalk.benchmark.placement;

import io.fireflywalk.core.placement.FleetView;
import io.fireflywalk.core.placement.PlacementDecision;
import io.fireflywalk.core.placement.PlacementOutcome;
import io.fireflywalk.core.placement.PlacementPlanner;
import io.fireflywalk.core.placement.PlacementScope;
import io.fireflywalk.core.placement.PlacementSettings;
import io.fireflywalk.core.placement.PlacementState;
import io.fireflywalk.core.placement.WeightStoreBudget;
import java.util.List;
import java.util.Set;

/** The project's placement as a policy under measurement. Confined to one thread. */
public final class PlannerPolicy implements PlacementPolicy {
    private static final double BUDGET_GIGABYTES = 400;
    private static final double BUDGET_GIGABYTES_PER_SECOND = 2;

    private final PlacementPlanner planner;
    private final boolean ordersTargets;
    private PlacementState state =
            PlacementState.initial(WeightStoreBudget.full(BUDGET_GIGABYTES, BUDGET_GIGABYTES_PER_SECOND, 0));

    public PlannerPolicy(PlacementSettings settings, boolean ordersTargets) {
        this.planner = new PlacementPlanner(settings);
        this.ordersTargets = ordersTargets;
    }

    @Override
    public List<PlacementDecision> decide(FleetView view, long now) {
        Set<String> zones = ordersTargets ? Set.copyOf(view.availabilityZones()) : Set.of();
        PlacementOutcome outcome = planner.plan(view, state, new PlacementScope(true, zones), now);
        state = outcome.state();
        return outcome.decisions();
    }
}
