package io.fireflywalk.daemon.claim;

import java.time.Duration;

/**
 * Bounds of claims.
 *
 * @param shards number of shards
 * @param batchInterval shortest time between two transactions of a shard
 * @param deadline time after which a claim that is not granted is refused
 * @param outcomeHold longest time that the end of an answer waits for its outcome to be stored
 * @param expiryHours age after which a claim may be replaced
 */
public record ClaimLimits(
        int shards, Duration batchInterval, Duration deadline, Duration outcomeHold, int expiryHours) {
    /** Bodies up to this size are stored in the claim's row, in Base64. */
    public static final int INLINE_BODY_BYTES = 16 * 1024;

    /** Bodies up to this size are stored in the object store; larger ones are not stored. */
    public static final int OBJECT_BODY_BYTES = 8 * 1024 * 1024;
}
