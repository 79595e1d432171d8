package io.fireflywalk.services.order;

import io.fireflywalk.core.configuration.TargetCharge;

/**
 * Target that the platform runs for the system.
 *
 * @param name name of the target
 * @param availabilityZone availability zone
 * @param machineType type of target
 * @param charge how it is charged
 * @param orderId order by which it was bought
 */
public record PlatformTarget(
        String name, String availabilityZone, String machineType, TargetCharge charge, String orderId) {}
