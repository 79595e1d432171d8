package io.fireflywalk.core.order;

import io.fireflywalk.core.configuration.TargetCharge;
import java.util.List;

/**
 * Order to the platform for targets of one availability zone. The platform executes an identifier at most once.
 *
 * @param id identifier
 * @param availabilityZone availability zone
 * @param action what to do
 * @param machineType type of target to order; unused for a release
 * @param charge how the targets are charged; unused for a release
 * @param count number of targets to order; 0 for a release
 * @param releasedTargets targets to release; empty for an order
 */
public record TargetOrder(
        String id,
        String availabilityZone,
        Action action,
        String machineType,
        TargetCharge charge,
        int count,
        List<String> releasedTargets) {

    /** What to do. */
    public enum Action {
        ORDER,
        RELEASE
    }

    public TargetOrder {
        releasedTargets = List.copyOf(releasedTargets);
    }

    /** Returns an order for more targets. */
    public static TargetOrder order(
            String id, String availabilityZone, String machineType, TargetCharge charge, int count) {
        return new TargetOrder(id, availabilityZone, Action.ORDER, machineType, charge, count, List.of());
    }

    /** Returns a release of targets. */
    public static TargetOrder release(String id, String availabilityZone, List<String> targets) {
        return new TargetOrder(id, availabilityZone, Action.RELEASE, "", TargetCharge.REGULAR, 0, targets);
    }
}
