package io.fireflywalk.core.claim;

/**
 * Change of a claim, requested by its holder.
 *
 * @param key key of the claim's row
 * @param wanted claim to be stored: in progress to acquire it, released to release it, otherwise with its outcome
 * @param knownVersion version of the row after the holder's last write; 0 to acquire the claim
 */
public record ClaimOperation(String key, ClaimRecord wanted, long knownVersion) {

    /** Tells whether the operation acquires the claim. */
    public boolean acquires() {
        return wanted.state() == ClaimState.IN_PROGRESS;
    }
}
