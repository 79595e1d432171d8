package io.fireflywalk.core.retry;

/**
 * Token bucket that limits retries to a fraction of recent successes. Immutable. A slow refill over time allows a few
 * retries without recent successes; otherwise an exhausted budget would never recover after an outage.
 *
 * @param settings refill rates and maximum
 * @param balance retries available at the last refill
 * @param updatedNanoseconds monotonic time of the last refill
 */
public record RetryBudget(Settings settings, double balance, long updatedNanoseconds) {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /**
     * Refill rates and maximum of a budget.
     *
     * @param retriesPerSuccess retries added per success
     * @param perSecond retries added per second
     * @param maximum maximum balance, so that only recent successes count
     */
    public record Settings(double retriesPerSuccess, double perSecond, double maximum) {}

    /** Returns a full budget. */
    public static RetryBudget full(Settings settings, long nowNanoseconds) {
        return new RetryBudget(settings, settings.maximum(), nowNanoseconds);
    }

    /** Returns the budget after a success. */
    public RetryBudget succeeded(long nowNanoseconds) {
        RetryBudget refilled = refilled(nowNanoseconds);
        return refilled.withBalance(refilled.balance + settings.retriesPerSuccess());
    }

    /** Returns whether a retry is within the budget. */
    public boolean allows(long nowNanoseconds) {
        return refilled(nowNanoseconds).balance >= 1;
    }

    /** Returns the budget after a retry. */
    public RetryBudget spent(long nowNanoseconds) {
        RetryBudget refilled = refilled(nowNanoseconds);
        return refilled.withBalance(refilled.balance - 1);
    }

    private RetryBudget refilled(long nowNanoseconds) {
        double seconds = Math.max(0, nowNanoseconds - updatedNanoseconds) / NANOSECONDS_PER_SECOND;
        double refilledBalance = Math.min(settings.maximum(), balance + seconds * settings.perSecond());
        return new RetryBudget(settings, refilledBalance, nowNanoseconds);
    }

    private RetryBudget withBalance(double newBalance) {
        return new RetryBudget(settings, Math.max(0, Math.min(settings.maximum(), newBalance)), updatedNanoseconds);
    }
}
