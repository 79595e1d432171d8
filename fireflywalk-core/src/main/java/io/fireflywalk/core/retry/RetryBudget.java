package io.fireflywalk.core.retry;

/**
 * Budget of repeated attempts as a fraction of recent successes. Immutable. A small refill over time lets a service
 * without recent successes probe again; without it an exhausted budget would never recover after an outage.
 *
 * @param settings ratio and bounds
 * @param balance attempts that may be repeated now
 * @param updatedNanoseconds monotonic time of the last refill
 */
public record RetryBudget(Settings settings, double balance, long updatedNanoseconds) {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /**
     * Ratio and bounds of a budget.
     *
     * @param perSuccess repeats that one success earns
     * @param perSecond repeats earned per second without any success
     * @param maximum bound of the balance, which makes only recent successes count
     */
    public record Settings(double perSuccess, double perSecond, double maximum) {}

    /** Returns a full budget. */
    public static RetryBudget full(Settings settings, long nowNanoseconds) {
        return new RetryBudget(settings, settings.maximum(), nowNanoseconds);
    }

    /** Returns the budget after a success. */
    public RetryBudget succeeded(long nowNanoseconds) {
        RetryBudget refilled = refilled(nowNanoseconds);
        return refilled.withBalance(refilled.balance + settings.perSuccess());
    }

    /** Tells whether one repeat is within the budget. */
    public boolean allows(long nowNanoseconds) {
        return refilled(nowNanoseconds).balance >= 1;
    }

    /** Returns the budget after a repeat. */
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
