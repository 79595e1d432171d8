package io.fireflywalk.services.table;

import java.time.Duration;

/**
 * Deadlines and backoff of calls to the table service.
 *
 * @param attemptDeadline time after which one attempt fails with an unknown outcome
 * @param callDeadline time for all attempts of a call, including the resolution of an unknown outcome
 * @param firstBackoff upper bound of the backoff before the second attempt; doubles with each further attempt
 * @param maximumBackoff upper bound of the backoff between any two attempts
 */
public record TableRetryPolicy(
        Duration attemptDeadline, Duration callDeadline, Duration firstBackoff, Duration maximumBackoff) {

    private static final int MAXIMUM_DOUBLINGS = 16;

    /** Returns a policy that makes at least three attempts within the deadline when the service does not respond. */
    public static TableRetryPolicy forCallDeadline(Duration callDeadline) {
        return new TableRetryPolicy(
                callDeadline.dividedBy(4), callDeadline, callDeadline.dividedBy(40), callDeadline.dividedBy(8));
    }

    /** Returns the backoff after a number of failed attempts. The fraction is random jitter from 0 to 1. */
    public Duration backoff(int failedAttempts, double fraction) {
        long exponential = firstBackoff.toNanos() << Math.min(failedAttempts - 1, MAXIMUM_DOUBLINGS);
        long upperBound = Math.min(exponential, maximumBackoff.toNanos());
        return Duration.ofNanos((long) (upperBound * (1 + fraction) / 2));
    }
}
