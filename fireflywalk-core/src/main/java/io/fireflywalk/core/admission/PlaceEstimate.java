package io.fireflywalk.core.admission;

/** Estimates the free places at the targets of a service, as one instance sees them. */
@FunctionalInterface
public interface PlaceEstimate {

    /** Returns the places of the service at a monotonic time in nanoseconds. */
    Places places(String service, long now);

    /**
     * Places at the targets of a service.
     *
     * @param targets number of targets that accept requests at all, whether they have a free place or not
     * @param free number of free places at those that may be sent a request now; 0 only if all of them look full
     * @param completionsPerSecond observed rate at which this instance's own requests complete; 0 if it is not known
     */
    record Places(int targets, int free, double completionsPerSecond) {}
}
