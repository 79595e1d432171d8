package io.fireflywalk.core.claim;

import java.util.Optional;

/**
 * Claim of an idempotency key, as the table service holds it.
 *
 * @param state what is known of the request
 * @param requestDigest digest of the request that the key came with
 * @param holder incarnation that runs the request
 * @param token unique identifier of the claim
 * @param hour hour since 1970 in which the key was claimed, for expiry only
 * @param answer stored answer
 */
public record ClaimRecord(
        ClaimState state, String requestDigest, String holder, String token, long hour, Optional<StoredAnswer> answer) {

    /** Returns the claim in another state. */
    public ClaimRecord with(ClaimState newState, Optional<StoredAnswer> newAnswer) {
        return new ClaimRecord(newState, requestDigest, holder, token, hour, newAnswer);
    }
}
