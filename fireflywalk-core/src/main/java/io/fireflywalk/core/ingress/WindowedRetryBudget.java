package io.fireflywalk.core.ingress;

/**
 * Limits the retries of one instance to its share of the fleet's retry budget: a ratio of the requests that it received
 * in a sliding window, and an equal share of a fixed number of retries. The shares of all instances add up to the
 * budget, so no coordination is needed. Not thread-safe.
 */
public final class WindowedRetryBudget {
    private static final int BUCKETS = 20;
    /** Usable fraction of the budget; the rest covers windows that start between two buckets. */
    private static final double USABLE_FRACTION = 0.7;

    private final double ratio;
    private final double fixedRetries;
    private final long bucketNanoseconds;
    private final int[] requests = new int[BUCKETS];
    private final int[] retries = new int[BUCKETS];
    private long currentBucket;

    /**
     * Creates the retry budget of an instance.
     *
     * @param ratio retries of the fleet per request within the window
     * @param fixedRetries retries of the fleet within the window in addition to the ratio
     * @param windowNanoseconds length of the sliding window
     */
    public WindowedRetryBudget(double ratio, double fixedRetries, long windowNanoseconds) {
        this.ratio = ratio;
        this.fixedRetries = fixedRetries;
        this.bucketNanoseconds = windowNanoseconds / BUCKETS;
    }

    /** Records a request of a caller. */
    public void recordRequest(long now) {
        advance(now);
        requests[(int) (currentBucket % BUCKETS)]++;
    }

    /** Consumes a retry and returns true if this instance's share among the given number of instances permits it. */
    public boolean trySpend(long now, int instances) {
        advance(now);
        double allowed = USABLE_FRACTION * (ratio * sum(requests) + fixedRetries / Math.max(1, instances));
        if (sum(retries) + 1 > allowed) {
            return false;
        }
        retries[(int) (currentBucket % BUCKETS)]++;
        return true;
    }

    private void advance(long now) {
        long bucket = now / bucketNanoseconds;
        long steps = Math.min(BUCKETS, bucket - currentBucket);
        for (long step = 1; step <= steps; step++) {
            int index = (int) ((currentBucket + step) % BUCKETS);
            requests[index] = 0;
            retries[index] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
    }

    private static int sum(int[] counts) {
        int total = 0;
        for (int count : counts) {
            total += count;
        }
        return total;
    }
}
