package io.fireflywalk.core.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Times at which refused callers of one service should return, from the backlog and the rate at which it drains. Each
 * refused caller is expected after those that were refused before it. Not thread-safe.
 */
public final class ReturnSchedule {
    /** A caller that returns sooner is refused for the same reason. */
    private static final long MINIMUM_NANOSECONDS = 50_000_000L;
    /** Later returns are not scheduled: few callers have as much time left, so most of them do not return. */
    private static final long MAXIMUM_NANOSECONDS = 5_000_000_000L;
    /** Range of the random factor, so that callers that were refused together do not return together. */
    private static final double JITTER = 0.3;
    /** Callers do not return after a longer part of the time that they have left. */
    private static final int USEFUL_PART = 3;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final RandomGenerator random;
    private long nextReturnAt = Long.MIN_VALUE / 2;

    public ReturnSchedule(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the time after which a refused caller should return, or empty if no drain has been observed.
     *
     * @param backlog number of requests that have to complete before there is a place for the caller
     * @param completionsPerSecond rate at which they complete; 0 if not known
     * @param remaining time that the caller has left; empty if not known
     */
    public Optional<Duration> retryAfter(
            int backlog, double completionsPerSecond, Optional<Duration> remaining, long now) {
        if (completionsPerSecond <= 0) {
            return Optional.empty();
        }
        long returnAt = returnAt(backlog, completionsPerSecond, now);
        nextReturnAt = returnAt + (long) Math.min(MAXIMUM_NANOSECONDS, NANOSECONDS_PER_SECOND / completionsPerSecond);
        double factor = 1 - JITTER / 2 + JITTER * random.nextDouble();
        long delay = (long) ((returnAt - now) * factor);
        return Optional.of(limit(Duration.ofNanos(delay), remaining));
    }

    /** Returns the time after which a caller should return if it were refused now, without its random part. */
    public Optional<Duration> evaluate(
            int backlog, double completionsPerSecond, Optional<Duration> remaining, long now) {
        return completionsPerSecond <= 0
                ? Optional.empty()
                : Optional.of(limit(Duration.ofNanos(returnAt(backlog, completionsPerSecond, now) - now), remaining));
    }

    private long returnAt(int backlog, double completionsPerSecond, long now) {
        long drainedAt =
                now + (long) Math.min(MAXIMUM_NANOSECONDS, backlog / completionsPerSecond * NANOSECONDS_PER_SECOND);
        return Math.min(now + MAXIMUM_NANOSECONDS, Math.max(drainedAt, nextReturnAt));
    }

    /** Limits the time after which a caller should return to the part of its remaining time after which it does. */
    public static Duration limit(Duration delay, Optional<Duration> remaining) {
        long longest = remaining.map(left -> left.toNanos() / USEFUL_PART).orElse(Long.MAX_VALUE);
        return Duration.ofNanos(Math.max(MINIMUM_NANOSECONDS, Math.min(delay.toNanos(), longest)));
    }
}
