package io.fireflywalk.core.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: each delay is drawn uniformly between 0 and a bound that doubles per retry.
 *
 * @param base upper bound of the first delay
 * @param maximum maximum of the bound
 */
public record Backoff(Duration base, Duration maximum) {
    private static final int MAXIMUM_DOUBLINGS = 30;

    /** Returns the delay before a retry; retries are numbered from 0. */
    public Duration delay(int retry, RandomGenerator random) {
        long multiplier = 1L << Math.min(retry, MAXIMUM_DOUBLINGS);
        long baseNanoseconds = Math.max(1, base.toNanos());
        long maximumNanoseconds = Math.max(1, maximum.toNanos());
        long bound =
                baseNanoseconds > maximumNanoseconds / multiplier ? maximumNanoseconds : baseNanoseconds * multiplier;
        return Duration.ofNanos(random.nextLong(bound + 1));
    }
}
