package io.fireflywalk.core.placement;

import java.util.Optional;

/**
 * Token bucket over what may be read from the shared weight store.
 *
 * @param capacityGigabytes most that may be read at once
 * @param gigabytesPerSecond refill
 * @param availableGigabytes what may be read now
 * @param atNanoseconds monotonic time at which the available amount was right
 */
public record WeightStoreBudget(
        double capacityGigabytes, double gigabytesPerSecond, double availableGigabytes, long atNanoseconds) {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Returns a full budget. */
    public static WeightStoreBudget full(double capacityGigabytes, double gigabytesPerSecond, long now) {
        return new WeightStoreBudget(capacityGigabytes, gigabytesPerSecond, capacityGigabytes, now);
    }

    /** Returns the budget at a later time; an earlier time changes nothing. */
    public WeightStoreBudget at(long now) {
        if (now <= atNanoseconds) {
            return this;
        }
        double refill = gigabytesPerSecond * (now - atNanoseconds) / NANOSECONDS_PER_SECOND;
        return new WeightStoreBudget(
                capacityGigabytes, gigabytesPerSecond, Math.min(capacityGigabytes, availableGigabytes + refill), now);
    }

    /** Returns the budget after a read, or empty if the read exceeds it. */
    public Optional<WeightStoreBudget> take(double gigabytes) {
        if (gigabytes > availableGigabytes) {
            return Optional.empty();
        }
        return Optional.of(new WeightStoreBudget(
                capacityGigabytes, gigabytesPerSecond, availableGigabytes - gigabytes, atNanoseconds));
    }
}
