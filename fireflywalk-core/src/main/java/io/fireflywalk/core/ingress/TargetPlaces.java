package io.fireflywalk.core.ingress;

import io.fireflywalk.core.admission.PlaceEstimate.Places;
import java.util.Collection;

/**
 * Estimates the free places of a service from the load of each target. A target without a recent report counts with this
 * instance's own requests only, so it looks free: an instance must not hold back requests that a target may accept.
 */
public final class TargetPlaces {
    /** Requests that a target may have in its own queue, as a fraction of its slots; they wait there for a short time. */
    private static final double QUEUED_FRACTION = 0.25;

    private TargetPlaces() {}

    /**
     * Returns the places of a service.
     *
     * @param maximumInFlight number of requests that this instance may have in progress at a target
     * @param completionsPerSecond observed rate of this instance's own completions; 0 if not known
     */
    public static Places of(
            Collection<TargetState> targets, int maximumInFlight, double completionsPerSecond, long now) {
        int accepting = 0;
        int free = 0;
        for (TargetState target : targets) {
            if (!target.generates() || !target.acceptsRequests(now)) {
                continue;
            }
            accepting++;
            if (target.available(now) && target.inFlight() < maximumInFlight) {
                double places = Math.ceil(target.entry().slots() * (1 + QUEUED_FRACTION));
                int unused = (int) Math.max(0, places - target.estimatedRequests(now));
                free += Math.min(unused, maximumInFlight - target.inFlight());
            }
        }
        return new Places(accepting, free, completionsPerSecond);
    }
}
