package io.fireflywalk.daemon.claim;

import java.time.Duration;

/**
 * Limits for idempotency claims.
 *
 * @param shards number of shards
 * @param batchInterval minimum time between two transactions of a shard
 * @param claimTimeout time after which a claim that is not granted is refused
 * @param outcomeStoreTimeout maximum time that the end of a response waits for its outcome to be stored
 * @param expiryHours age after which a claim may be replaced
 */
public record ClaimLimits(
        int shards, Duration batchInterval, Duration claimTimeout, Duration outcomeStoreTimeout, int expiryHours) {
    /** Bodies up to this size are stored in the claim's row, encoded in Base64. */
    public static final int INLINE_BODY_BYTES = 16 * 1024;

    /** Bodies up to this size are stored in the object store; larger ones are not stored. */
    public static final int OBJECT_BODY_BYTES = 8 * 1024 * 1024;
}
