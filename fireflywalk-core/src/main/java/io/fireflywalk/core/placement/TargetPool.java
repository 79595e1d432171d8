package io.fireflywalk.core.placement;

import io.fireflywalk.core.configuration.TargetCharge;

/**
 * Targets that are ordered and released together.
 *
 * @param served model
 * @param availabilityZone availability zone
 * @param charge charge
 */
public record TargetPool(ServedModel served, String availabilityZone, TargetCharge charge) {}
