package io.fireflywalk.services.order;

import io.fireflywalk.core.configuration.TargetCharge;

/**
 * Target that the platform has provisioned.
 *
 * @param name name of the target
 * @param availabilityZone availability zone
 * @param machineType machine type
 * @param charge whether the capacity is regular or preemptible
 * @param orderId identifier of the order that provisioned the target
 */
public record PlatformTarget(
        String name, String availabilityZone, String machineType, TargetCharge charge, String orderId) {}
