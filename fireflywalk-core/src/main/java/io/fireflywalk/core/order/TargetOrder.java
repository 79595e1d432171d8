package io.fireflywalk.core.order;

import io.fireflywalk.core.configuration.TargetCharge;
import java.util.List;

/**
 * Order to the platform to add or release targets in one availability zone. The platform executes each order identifier
 * at most once.
 *
 * @param id identifier
 * @param availabilityZone availability zone
 * @param action whether to add or to release targets
 * @param machineType machine type of the targets to add; unused for a release
 * @param charge how the targets are charged; unused for a release
 * @param count number of targets to add; 0 for a release
 * @param releasedTargets names of the targets to release; empty for an order
 */
public record TargetOrder(
        String id,
        String availabilityZone,
        Action action,
        String machineType,
        TargetCharge charge,
        int count,
        List<String> releasedTargets) {

    /** Whether to add or to release targets. */
    public enum Action {
        ORDER,
        RELEASE
    }

    public TargetOrder {
        releasedTargets = List.copyOf(releasedTargets);
    }

    /** Returns an order to add targets. */
    public static TargetOrder order(
            String id, String availabilityZone, String machineType, TargetCharge charge, int count) {
        return new TargetOrder(id, availabilityZone, Action.ORDER, machineType, charge, count, List.of());
    }

    /** Returns an order to release targets. */
    public static TargetOrder release(String id, String availabilityZone, List<String> targets) {
        return new TargetOrder(id, availabilityZone, Action.RELEASE, "", TargetCharge.REGULAR, 0, targets);
    }
}
