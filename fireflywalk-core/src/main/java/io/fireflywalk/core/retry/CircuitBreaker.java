package io.fireflywalk.core.retry;

/**
 * Circuit breaker of one target. Immutable. Consecutive failures open it. After the open duration it admits one probe
 * at a time, and the first successful probe closes it. A probe without a result is considered lost after the open
 * duration.
 *
 * @param settings thresholds
 * @param state which attempts are admitted
 * @param consecutiveFailures consecutive failures
 * @param changedAtNanoseconds monotonic time of the last state change or start of a probe
 */
public record CircuitBreaker(Settings settings, State state, int consecutiveFailures, long changedAtNanoseconds) {

    /**
     * Thresholds of a breaker.
     *
     * @param failureThreshold consecutive failures that open the breaker
     * @param openDurationNanoseconds time in the open state before a probe is admitted
     */
    public record Settings(int failureThreshold, long openDurationNanoseconds) {}

    /** Which attempts a breaker admits. */
    public enum State {
        /** All attempts are admitted. */
        CLOSED,
        /** No attempt is admitted until the open duration has passed. */
        OPEN,
        /** Half-open: one probe is in progress, and no other attempt is admitted. */
        PROBING
    }

    public static CircuitBreaker closed(Settings settings) {
        return new CircuitBreaker(settings, State.CLOSED, 0, 0);
    }

    /** Returns whether an attempt may start now. */
    public boolean allows(long nowNanoseconds) {
        return state == State.CLOSED || nowNanoseconds - changedAtNanoseconds >= settings.openDurationNanoseconds();
    }

    /** Returns the breaker after the start of an admitted attempt. */
    public CircuitBreaker started(long nowNanoseconds) {
        return state == State.CLOSED
                ? this
                : new CircuitBreaker(settings, State.PROBING, consecutiveFailures, nowNanoseconds);
    }

    /** Returns the breaker after an attempt that showed the target to be working. */
    public CircuitBreaker succeeded() {
        return state == State.CLOSED && consecutiveFailures == 0 ? this : closed(settings);
    }

    /** Returns the breaker after an attempt that failed because of the target. */
    public CircuitBreaker failed(long nowNanoseconds) {
        int newFailures = Math.min(consecutiveFailures + 1, settings.failureThreshold());
        return switch (state) {
            case CLOSED ->
                newFailures >= settings.failureThreshold()
                        ? new CircuitBreaker(settings, State.OPEN, newFailures, nowNanoseconds)
                        : new CircuitBreaker(settings, State.CLOSED, newFailures, nowNanoseconds);
            // Failures of attempts that started before the breaker opened do not extend the open duration.
            case OPEN -> this;
            case PROBING -> new CircuitBreaker(settings, State.OPEN, newFailures, nowNanoseconds);
        };
    }

    /** Returns the breaker after an attempt that ended without an indication of the target's health. */
    public CircuitBreaker abandoned(long nowNanoseconds) {
        // The next attempt may probe immediately.
        return state == State.PROBING
                ? new CircuitBreaker(
                        settings, State.OPEN, consecutiveFailures, nowNanoseconds - settings.openDurationNanoseconds())
                : this;
    }
}
