package io.fireflywalk.core.admission;

/** Rate of events as an exponentially decaying average. Not thread-safe. */
public final class CompletionRate {
    /** Longer than the waves of load at targets are short, so that one burst of completions does not count as a rate. */
    private static final double DECAY_SECONDS = 2;
    /** Fewer recent events say nothing about the rate. */
    private static final double MINIMUM_EVENTS = 2;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private double events;
    private long updatedAt;

    /** Records an event. */
    public void record(long now) {
        events = events(now) + 1;
        updatedAt = now;
    }

    /** Returns the events per second, or 0 if there were too few to tell. */
    public double perSecond(long now) {
        return events(now) < MINIMUM_EVENTS ? 0 : uncertainPerSecond(now);
    }

    /** Returns the events per second, even if there were few. */
    double uncertainPerSecond(long now) {
        return events(now) / DECAY_SECONDS;
    }

    /** Returns the number of events, each of which counts less the longer ago it was. */
    double events(long now) {
        return events * Math.exp(-Math.max(0, now - updatedAt) / NANOSECONDS_PER_SECOND / DECAY_SECONDS);
    }
}
