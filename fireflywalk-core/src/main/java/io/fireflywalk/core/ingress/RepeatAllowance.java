package io.fireflywalk.core.ingress;

/**
 * Limits the repeated sends of one instance to its part of the fleet's budget: a ratio of the requests that it took in
 * the window, and a part of the fleet's fixed amount. Holds without messages between instances, because the parts add up
 * to the budget. Confined to one thread.
 */
public final class RepeatAllowance {
    private static final int BUCKETS = 20;
    /** Part of the budget that is used; the rest covers windows that begin between two buckets. */
    private static final double USED_PART = 0.7;

    private final double ratio;
    private final double fixedAmount;
    private final long bucketNanoseconds;
    private final int[] requests = new int[BUCKETS];
    private final int[] repeats = new int[BUCKETS];
    private long currentBucket;

    /**
     * Creates an allowance.
     *
     * @param ratio repeats of the fleet per request within the window
     * @param fixedAmount repeats of the fleet within the window beside the ratio
     * @param windowNanoseconds length of the sliding window
     */
    public RepeatAllowance(double ratio, double fixedAmount, long windowNanoseconds) {
        this.ratio = ratio;
        this.fixedAmount = fixedAmount;
        this.bucketNanoseconds = windowNanoseconds / BUCKETS;
    }

    /** Notes a request of a caller. */
    public void requestArrived(long now) {
        advance(now);
        requests[(int) (currentBucket % BUCKETS)]++;
    }

    /** Takes a repeat if the part of this instance among the given number of instances allows it. */
    public boolean spend(long now, int instances) {
        advance(now);
        double allowed = USED_PART * (ratio * sum(requests) + fixedAmount / Math.max(1, instances));
        if (sum(repeats) + 1 > allowed) {
            return false;
        }
        repeats[(int) (currentBucket % BUCKETS)]++;
        return true;
    }

    private void advance(long now) {
        long bucket = now / bucketNanoseconds;
        long steps = Math.min(BUCKETS, bucket - currentBucket);
        for (long step = 1; step <= steps; step++) {
            int index = (int) ((currentBucket + step) % BUCKETS);
            requests[index] = 0;
            repeats[index] = 0;
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
