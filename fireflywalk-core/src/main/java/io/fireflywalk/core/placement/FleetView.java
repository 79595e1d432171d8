package io.fireflywalk.core.placement;

import java.util.List;
import java.util.Optional;

/**
 * Immutable picture of a model pool's fleet at one moment. The same runner may occur more than once; reports that
 * contradict each other make it untrusted.
 *
 * @param availabilityZones zones in which targets can be ordered
 * @param runners reports about runners
 * @param demands demand per served model
 * @param orderReports known outcomes of orders to engines
 * @param pendingTargets target orders that are not delivered
 */
public record FleetView(
        List<String> availabilityZones,
        List<RunnerView> runners,
        List<ModelDemand> demands,
        List<OrderReport> orderReports,
        List<PendingTargets> pendingTargets) {

    public FleetView {
        availabilityZones = List.copyOf(availabilityZones);
        runners = List.copyOf(runners);
        demands = List.copyOf(demands);
        orderReports = List.copyOf(orderReports);
        pendingTargets = List.copyOf(pendingTargets);
    }

    /** Returns the demand for a served model. */
    public Optional<ModelDemand> demand(ServedModel served) {
        return demands.stream().filter(demand -> demand.served().equals(served)).findFirst();
    }

    /** Returns the outcome of a change's order, if it is known. */
    public Optional<OrderReport.Outcome> outcome(String changeId) {
        return orderReports.stream()
                .filter(report -> report.changeId().equals(changeId))
                .map(OrderReport::outcome)
                .findFirst();
    }
}
