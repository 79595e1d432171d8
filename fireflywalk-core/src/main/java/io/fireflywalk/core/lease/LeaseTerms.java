package io.fireflywalk.core.lease;

import java.time.Duration;

/**
 * Times of a lease. The holder's part is shortened and the observer's part lengthened by the drift bound, so that the
 * two never overlap while every clock runs within the bound of true time.
 *
 * @param duration how long a renewal lasts
 * @param driftBound largest relative error of the rate of any process's monotonic clock
 * @param requestDeadline longest time that a request sent under the lease may take
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

    /** Returns the nanoseconds after the sending of a renewal during which the holder may begin a request. */
    public long holderNanoseconds() {
        return (long) (duration.toNanos() * (1 - driftBound)) - requestDeadline.toNanos();
    }

    /**
     * Returns the nanoseconds for which an observer must see the same row version before it takes over. For target
     * orders the longest request is added, so that none of the previous holder is in flight at the takeover.
     */
    public long observerNanoseconds(LeaseUnit unit, LeaseRecord seen) {
        long longest = Math.max(
                duration.toNanos(),
                Duration.ofMillis(seen.durationMilliseconds()).toNanos());
        long inFlight = unit.kind() == LeaseUnit.Kind.ZONE ? requestDeadline.toNanos() : 0;
        return (long) Math.ceil((longest + inFlight) * (1 + driftBound));
    }
}
