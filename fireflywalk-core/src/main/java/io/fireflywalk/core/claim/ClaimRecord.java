package io.fireflywalk.core.claim;

import java.util.Optional;

/**
 * Claim of an idempotency key, as stored in the table service.
 *
 * @param state execution state of the request
 * @param requestDigest digest of the request that claimed the key
 * @param holder incarnation that runs the request
 * @param token unique identifier of the claim
 * @param hour hour in which the key was claimed, counted from 1970; used only for expiry
 * @param answer stored response
 */
public record ClaimRecord(
        ClaimState state,
        String requestDigest,
        String holder,
        String token,
        long hour,
        Optional<StoredResponse> answer) {

    /** Returns a copy with another state and response. */
    public ClaimRecord with(ClaimState newState, Optional<StoredResponse> newAnswer) {
        return new ClaimRecord(newState, requestDigest, holder, token, hour, newAnswer);
    }
}
