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
 * Behaviour of the platform's target interface: orders deduplicated by id, targets, and an instance list that lags.
 * Time is given by the caller. Not thread-safe.
 */
public final class PlatformLedger {
    private final long instanceLagNanoseconds;
    private final boolean deduplicates;
    private final Map<String, TargetOrderOutcome> outcomes = new LinkedHashMap<>();
    private final Map<String, PlatformTarget> targets = new TreeMap<>();
    private final Map<String, List<InstanceChange>> instances = new TreeMap<>();
    private final List<String> executedOrders = new ArrayList<>();
    private int nextTarget = 1;

    public PlatformLedger(long instanceLagNanoseconds, boolean deduplicates) {
        this.instanceLagNanoseconds = instanceLagNanoseconds;
        this.deduplicates = deduplicates;
    }

    /** Executes an order, or returns the first outcome of the same identifier. */
    public TargetOrderOutcome execute(TargetOrder order) {
        TargetOrderOutcome earlier = outcomes.get(order.id());
        if (earlier != null && deduplicates) {
            return earlier;
        }
        List<String> changed =
                order.action() == TargetOrder.Action.ORDER ? buy(order) : release(order.releasedTargets());
        TargetOrderOutcome outcome = new TargetOrderOutcome(order.id(), true, changed);
        outcomes.put(order.id(), outcome);
        executedOrders.add(order.id());
        return outcome;
    }

    /** Returns the outcome of an order if it was received. */
    public Optional<TargetOrderOutcome> find(String orderId) {
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

    /** Sets what is true of an instance; the list shows it after the lag. */
    public void setInstance(String incarnation, PlatformInstance.Status status, long now) {
        instances.computeIfAbsent(incarnation, name -> new ArrayList<>()).add(new InstanceChange(status, now));
    }

    /** Returns the instance list as it was true before the lag. */
    public List<PlatformInstance> instances(long now) {
        List<PlatformInstance> listed = new ArrayList<>();
        instances.forEach((incarnation, changes) -> changes.stream()
                .filter(change -> now - change.at() >= instanceLagNanoseconds)
                .reduce((earlier, later) -> later)
                .ifPresent(change -> listed.add(new PlatformInstance(incarnation, change.status()))));
        return listed;
    }

    private List<String> buy(TargetOrder order) {
        List<String> bought = new ArrayList<>();
        for (int index = 0; index < order.count(); index++) {
            String name = order.availabilityZone() + "-target-" + nextTarget;
            nextTarget++;
            targets.put(
                    name,
                    new PlatformTarget(
                            name, order.availabilityZone(), order.machineType(), order.charge(), order.id()));
            bought.add(name);
        }
        return bought;
    }

    private List<String> release(List<String> names) {
        return names.stream().filter(name -> targets.remove(name) != null).toList();
    }

    private record InstanceChange(PlatformInstance.Status status, long at) {}
}
