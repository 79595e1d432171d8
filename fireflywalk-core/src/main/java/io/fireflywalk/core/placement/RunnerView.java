package io.fireflywalk.core.placement;

import io.fireflywalk.core.configuration.TargetCharge;

/**
 * One report about a runner.
 *
 * @param name name of the target
 * @param availabilityZone availability zone of the target
 * @param charge whether the platform may reclaim the target
 * @param state what the runner does
 * @param assignment what the runner says it serves
 * @param runningRequests requests that have not ended
 * @param reportAgeSeconds age of the report
 */
public record RunnerView(
        String name,
        String availabilityZone,
        TargetCharge charge,
        RunnerState state,
        Assignment assignment,
        int runningRequests,
        double reportAgeSeconds) {}
