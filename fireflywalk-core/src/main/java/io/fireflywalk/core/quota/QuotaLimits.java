package io.fireflywalk.core.quota;

/**
 * Division of a quota into pools, from which one granter each grants amounts to instances, and equal shares, which
 * instances use while no granter responds. In any window, a pool gives at most its rate x window + capacity, and the shares
 * of all instances together at most {@link #SHARE_FRACTION} of the excess.
 *
 * @param rate amount per second of the quota
 * @param burst burst of the quota
 * @param excess amount by which the quota may be exceeded in a window
 * @param windowSeconds length of the window
 * @param smallestPool capacity of a pool that serves any usual request; a smaller quota has one pool
 */
public record QuotaLimits(double rate, double burst, double excess, double windowSeconds, double smallestPool) {
    /** One pool goes on while the granter of the other has failed; more pools would be too small for long prompts. */
    public static final int POOLS = 2;

    /** Fraction of the excess for the equal shares. */
    static final double SHARE_FRACTION = 0.25;
    /** Fraction of the excess for requests that run some time after they were charged; not used otherwise. */
    private static final double DELAY_FRACTION = 0.125;
    /** Fraction of the pools' excess that may be granted and not reported as used. */
    private static final double OUTSTANDING_FRACTION = 0.75;
    /** The same as a fraction of the capacity; what remains can be granted right after a takeover. */
    private static final double MINIMUM_OUTSTANDING_FRACTION = 0.5;
    /** Fraction of the outstanding amount that instances hold without a request that needs it. */
    private static final double RESERVE_FRACTION = 1 / 3.0;
    /** Fraction of an equal share that may be used at once. */
    private static final double SHARE_BURST_FRACTION = 0.75;

    /** Returns the fraction of the quota in a pool. */
    private double fraction(int pool) {
        if ((burst + pooledExcess()) / POOLS >= smallestPool) {
            return 1.0 / POOLS;
        }
        return pool == 0 ? 1 : 0;
    }

    private double pooledExcess() {
        return (1 - SHARE_FRACTION - DELAY_FRACTION) * excess;
    }

    double poolRate(int pool) {
        return fraction(pool) * rate;
    }

    double poolBurst(int pool) {
        return fraction(pool) * burst;
    }

    /** Returns the largest sum of what a pool can grant at once and what it has granted that may still be used. */
    double poolCapacity(int pool) {
        return fraction(pool) * (burst + pooledExcess());
    }

    /** Returns the largest amount that a pool has granted and that may still be used. */
    double poolOutstanding(int pool) {
        double capacity = poolCapacity(pool);
        double outstanding = Math.max(
                OUTSTANDING_FRACTION * fraction(pool) * pooledExcess(), MINIMUM_OUTSTANDING_FRACTION * capacity);
        return Math.max(outstanding, Math.min(1, capacity));
    }

    /** Returns the amount that an instance keeps for its next requests. */
    long reserve(int instances) {
        return (long) (RESERVE_FRACTION * poolOutstanding(0) * POOLS / Math.max(1, instances));
    }

    /** Returns the capacity of the equal share of an instance. */
    double shareCapacity(int instances) {
        return SHARE_BURST_FRACTION * SHARE_FRACTION * excess / Math.max(1, instances);
    }

    /** Returns the amount per second of the equal share of an instance. */
    double shareRate(int instances) {
        return (1 - SHARE_BURST_FRACTION) * SHARE_FRACTION * excess / windowSeconds / Math.max(1, instances);
    }
}
