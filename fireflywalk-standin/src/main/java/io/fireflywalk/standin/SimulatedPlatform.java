package io.fireflywalk.standin;

import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.core.order.TargetOrderOutcome;
import io.fireflywalk.services.order.PlatformInstance;
import io.fireflywalk.services.order.PlatformTarget;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Simulates the platform's target API: orders that are deduplicated by id, the targets, and an instance list that shows
 * each change after a lag. The caller passes the monotonic time in nanoseconds. Not thread-safe.
 */
public final class SimulatedPlatform {
    private final long instanceLagNanoseconds;
    private final boolean deduplicateOrders;
    private final Map<String, TargetOrderOutcome> outcomes = new LinkedHashMap<>();
    private final Map<String, PlatformTarget> targets = new TreeMap<>();
    private final Map<String, List<InstanceChange>> changesByIncarnation = new TreeMap<>();
    private final List<String> executedOrders = new ArrayList<>();
    private int nextTargetNumber = 1;

    public SimulatedPlatform(long instanceLagNanoseconds, boolean deduplicateOrders) {
        this.instanceLagNanoseconds = instanceLagNanoseconds;
        this.deduplicateOrders = deduplicateOrders;
    }

    /** Executes an order; a duplicate gets the outcome of the first execution if orders are deduplicated. */
    public TargetOrderOutcome execute(TargetOrder order) {
        TargetOrderOutcome firstOutcome = outcomes.get(order.id());
        if (firstOutcome != null && deduplicateOrders) {
            return firstOutcome;
        }
        List<String> changedTargets =
                order.action() == TargetOrder.Action.ORDER ? provision(order) : release(order.releasedTargets());
        TargetOrderOutcome outcome = new TargetOrderOutcome(order.id(), true, changedTargets);
        outcomes.put(order.id(), outcome);
        executedOrders.add(order.id());
        return outcome;
    }

    /** Returns the outcome of an order, or empty if it was not received. */
    public Optional<TargetOrderOutcome> findOutcome(String orderId) {
        return Optional.ofNullable(outcomes.get(orderId));
    }

    /** Returns the targets of an availability zone. */
    public List<PlatformTarget> targets(String availabilityZone) {
        return targets.values().stream()
                .filter(target -> target.availabilityZone().equals(availabilityZone))
                .toList();
    }

    /** Returns the identifiers of executed orders, one per execution. */
    public List<String> executedOrders() {
        return List.copyOf(executedOrders);
    }

    /** Records the status of an instance; the instance list shows it after the lag. */
    public void recordInstanceStatus(String incarnation, PlatformInstance.Status status, long now) {
        changesByIncarnation
                .computeIfAbsent(incarnation, name -> new ArrayList<>())
                .add(new InstanceChange(status, now));
    }

    /** Returns the status that each instance had one lag ago. */
    public List<PlatformInstance> instances(long now) {
        List<PlatformInstance> listed = new ArrayList<>();
        changesByIncarnation.forEach((incarnation, changes) -> changes.stream()
                .filter(change -> now - change.atNanoseconds() >= instanceLagNanoseconds)
                .reduce((earlier, later) -> later)
                .ifPresent(change -> listed.add(new PlatformInstance(incarnation, change.status()))));
        return listed;
    }

    private List<String> provision(TargetOrder order) {
        List<String> provisioned = new ArrayList<>();
        for (int index = 0; index < order.count(); index++) {
            String name = order.availabilityZone() + "-target-" + nextTargetNumber;
            nextTargetNumber++;
            targets.put(
                    name,
                    new PlatformTarget(
                            name, order.availabilityZone(), order.machineType(), order.charge(), order.id()));
            provisioned.add(name);
        }
        return provisioned;
    }

    private List<String> release(List<String> names) {
        return names.stream().filter(name -> targets.remove(name) != null).toList();
    }

    private record InstanceChange(PlatformInstance.Status status, long atNanoseconds) {}
}
