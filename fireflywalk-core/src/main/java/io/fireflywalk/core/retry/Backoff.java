package io.fireflywalk.core.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: each delay is drawn evenly between 0 and a bound that doubles.
 *
 * @param base bound of the first delay
 * @param maximum largest bound
 */
public record Backoff(Duration base, Duration maximum) {
    private static final int MAXIMUM_DOUBLINGS = 30;

    /** Returns the delay before the repeat with the number, counted from 0. */
    public Duration delay(int repeat, RandomGenerator random) {
        long factor = 1L << Math.min(repeat, MAXIMUM_DOUBLINGS);
        long baseNanoseconds = Math.max(1, base.toNanos());
        long limit = Math.max(1, maximum.toNanos());
        long bound = baseNanoseconds > limit / factor ? limit : baseNanoseconds * factor;
        return Duration.ofNanos(random.nextLong(bound + 1));
    }
}
