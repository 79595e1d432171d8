package io.fireflywalk.services.table;

import java.time.Duration;

/**
 * Time limits of calls to the table service.
 *
 * @param attemptDeadline time after which the outcome of one attempt is taken as unknown
 * @param callDeadline time for all attempts of one call together, including the resolution of an unknown outcome
 * @param firstBackoff longest pause before the second attempt; doubles for each further one
 * @param maximumBackoff longest pause between two attempts
 */
public record TableRetryPolicy(
        Duration attemptDeadline, Duration callDeadline, Duration firstBackoff, Duration maximumBackoff) {

    private static final int MAXIMUM_DOUBLINGS = 16;

    /** Returns a policy whose calls end within the deadline after at least three attempts on a silent service. */
    public static TableRetryPolicy within(Duration callDeadline) {
        return new TableRetryPolicy(
                callDeadline.dividedBy(4), callDeadline, callDeadline.dividedBy(40), callDeadline.dividedBy(8));
    }

    /** Returns the pause before the attempt after {@code attempts} failed ones; the fraction is random, 0 to 1. */
    public Duration backoff(int attempts, double fraction) {
        long doubled = firstBackoff.toNanos() << Math.min(attempts - 1, MAXIMUM_DOUBLINGS);
        long bound = Math.min(doubled, maximumBackoff.toNanos());
        return Duration.ofNanos((long) (bound * (1 + fraction) / 2));
    }
}
