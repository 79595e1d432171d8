package io.fireflywalk.core.placement;

import io.fireflywalk.core.configuration.TargetCharge;

/**
 * Targets that are ordered and not delivered yet.
 *
 * @param served model for which they were ordered
 * @param availabilityZone availability zone
 * @param charge charge
 * @param count number of targets
 * @param ageSeconds time since the order
 */
public record PendingTargets(
        ServedModel served, String availabilityZone, TargetCharge charge, int count, double ageSeconds) {}
