package io.fireflywalk.core.quota;

/**
 * Equal share of an instance, which it uses while the granters do not respond. The shares of all instances are a part of
 * the excess that no pool grants, so they hold whether granters respond or not. Starts empty, because an earlier process
 * of the instance may have used its share. Not thread-safe.
 */
final class EqualShare {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private double level;
    private long accruedAt = Long.MIN_VALUE;

    /** Uses the amount if the share has it. */
    boolean take(long amount, QuotaLimits limits, int instances, ClockReading now) {
        accrue(limits, instances, now);
        if (level < amount) {
            return false;
        }
        level -= amount;
        return true;
    }

    void accrue(QuotaLimits limits, int instances, ClockReading now) {
        level = level(limits, instances, now);
        accruedAt = now.slow();
    }

    /** Returns the amount that the share has. */
    double level(QuotaLimits limits, int instances, ClockReading now) {
        double accrued = accruedAt == Long.MIN_VALUE
                ? 0
                : limits.shareRate(instances) * Math.max(0, now.slow() - accruedAt) / NANOSECONDS_PER_SECOND;
        return Math.min(level + accrued, limits.shareCapacity(instances));
    }
}
