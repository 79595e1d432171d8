package io.fireflywalk.core.lease;

import java.time.Duration;

/**
 * Timing parameters of a lease. The drift bound shortens the holder's validity and lengthens the observer's wait, so
 * that two processes never hold the lease at once while every clock's rate is within the bound of true time.
 *
 * @param duration validity of a renewal
 * @param driftBound maximum relative rate error of any process's monotonic clock
 * @param requestDeadline maximum duration of a request sent under the lease
 */
public record LeaseTerms(Duration duration, double driftBound, Duration requestDeadline) {

    public LeaseTerms {
        if (driftBound < 0 || driftBound >= 1) {
            throw new IllegalArgumentException("drift bound must be in [0, 1): " + driftBound);
        }
        if (duration.toNanos() * (1 - driftBound) <= requestDeadline.toNanos()) {
            throw new IllegalArgumentException("lease duration must exceed the request deadline: " + duration);
        }
    }

    /** Returns the nanoseconds after sending a renewal during which the holder may start a request. */
    public long holderValidityNanoseconds() {
        return (long) (duration.toNanos() * (1 - driftBound)) - requestDeadline.toNanos();
    }

    /**
     * Returns the nanoseconds for which an observer must see an unchanged row version before it may take over. For
     * target orders this includes the request deadline, so that no order of the previous holder is in flight at the
     * takeover.
     */
    public long takeoverWaitNanoseconds(LeaseUnit unit, LeaseRecord seen) {
        long longestDuration = Math.max(
                duration.toNanos(),
                Duration.ofMillis(seen.durationMilliseconds()).toNanos());
        long inFlight = unit.kind() == LeaseUnit.Kind.ZONE ? requestDeadline.toNanos() : 0;
        return (long) Math.ceil((longestDuration + inFlight) * (1 + driftBound));
    }
}
