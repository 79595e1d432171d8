package io.fireflywalk.core.retry;

/**
 * Circuit breaker of one target. Immutable. Consecutive failures open it; after a while it lets single probes through,
 * and the first probe that succeeds closes it. A probe that never reports counts as lost after the open time.
 *
 * @param settings bounds
 * @param state whether attempts pass
 * @param failures consecutive failures
 * @param sinceNanoseconds monotonic time of the last change of state or start of a probe
 */
public record CircuitBreaker(Settings settings, State state, int failures, long sinceNanoseconds) {

    /**
     * Bounds of a breaker.
     *
     * @param failuresToOpen consecutive failures that open the breaker
     * @param openNanoseconds time before a probe is let through
     */
    public record Settings(int failuresToOpen, long openNanoseconds) {}

    /** States of a breaker. */
    public enum State {
        /** All attempts pass. */
        CLOSED,
        /** No attempt passes until the open time is over. */
        OPEN,
        /** One probe is under way; no other attempt passes. */
        PROBING
    }

    /** Returns a closed breaker. */
    public static CircuitBreaker closed(Settings settings) {
        return new CircuitBreaker(settings, State.CLOSED, 0, 0);
    }

    /** Tells whether an attempt may start now. */
    public boolean allows(long nowNanoseconds) {
        return state == State.CLOSED || nowNanoseconds - sinceNanoseconds >= settings.openNanoseconds();
    }

    /** Returns the breaker after the start of an attempt that it allowed. */
    public CircuitBreaker started(long nowNanoseconds) {
        return state == State.CLOSED ? this : new CircuitBreaker(settings, State.PROBING, failures, nowNanoseconds);
    }

    /** Returns the breaker after an attempt whose target works. */
    public CircuitBreaker succeeded() {
        return state == State.CLOSED && failures == 0 ? this : closed(settings);
    }

    /** Returns the breaker after an attempt that its target failed. */
    public CircuitBreaker failed(long nowNanoseconds) {
        int newFailures = Math.min(failures + 1, settings.failuresToOpen());
        return switch (state) {
            case CLOSED ->
                newFailures >= settings.failuresToOpen()
                        ? new CircuitBreaker(settings, State.OPEN, newFailures, nowNanoseconds)
                        : new CircuitBreaker(settings, State.CLOSED, newFailures, nowNanoseconds);
            // Failures of attempts that began before the breaker opened do not extend the open time.
            case OPEN -> this;
            case PROBING -> new CircuitBreaker(settings, State.OPEN, newFailures, nowNanoseconds);
        };
    }

    /** Returns the breaker after an attempt that ended for reasons that say nothing of the target. */
    public CircuitBreaker abandoned(long nowNanoseconds) {
        // The next attempt may probe at once.
        return state == State.PROBING
                ? new CircuitBreaker(settings, State.OPEN, failures, nowNanoseconds - settings.openNanoseconds())
                : this;
    }
}
