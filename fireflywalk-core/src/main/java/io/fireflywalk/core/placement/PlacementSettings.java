package io.fireflywalk.core.placement;

/**
 * Constants of placement.
 *
 * @param samplePeriodSeconds period of the demand history
 * @param windowSamples samples over which the least and the greatest demand are taken
 * @param horizonSeconds time over which a change must pay for itself
 * @param hysteresis fraction by which a gain must exceed its cost; also the dead band in runners
 * @param drainSeconds expected duration of a drain
 * @param drainLimitSeconds time after which an unfinished drain is cancelled
 * @param roleChangeSeconds duration of a role change
 * @param loadSecondsPerGigabyte time to load weights
 * @param mixedPenalty part of a runner's capacity that the mixed role loses
 * @param utilization part of a runner's capacity that is planned to be used
 * @param lossUtilization part that may be used for the time after the loss of a zone
 * @param cooldownSeconds time between two changes of one runner
 * @param concurrentChangeFraction part of a model's runners that may change together, at least one
 * @param staleSeconds age from which a report no longer supports a change
 * @param lostSeconds age from which a silent runner no longer counts as capacity
 * @param freezeFraction silent part of the fleet from which every change stops
 * @param orderLeadSeconds time from a target order to its delivery
 * @param orderPatienceSeconds age from which an undelivered order no longer counts
 * @param releaseHoldSeconds time for which a surplus must last before a target is released
 * @param zoneHoldSeconds time after the loss of a zone in which it gets no orders
 * @param preemptibleCharge charge for a preemptible target, relative to a regular one
 */
public record PlacementSettings(
        double samplePeriodSeconds,
        int windowSamples,
        double horizonSeconds,
        double hysteresis,
        double drainSeconds,
        double drainLimitSeconds,
        double roleChangeSeconds,
        double loadSecondsPerGigabyte,
        double mixedPenalty,
        double utilization,
        double lossUtilization,
        double cooldownSeconds,
        double concurrentChangeFraction,
        double staleSeconds,
        double lostSeconds,
        double freezeFraction,
        double orderLeadSeconds,
        double orderPatienceSeconds,
        double releaseHoldSeconds,
        double zoneHoldSeconds,
        double preemptibleCharge) {

    /** Returns the constants that the daemon and the measurements use. */
    public static PlacementSettings defaults() {
        return new PlacementSettings(
                5, 120, 300, 0.25, 10, 60, 6, 0.5, 0.03, 0.7, 0.9, 60, 0.2, 5, 30, 0.5, 60, 180, 180, 300, 0.35);
    }
}
