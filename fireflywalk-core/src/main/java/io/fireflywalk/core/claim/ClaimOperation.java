package io.fireflywalk.core.claim;

/**
 * Change of a claim that its holder asks for.
 *
 * @param key key of the claim's row
 * @param wanted claim as it should be: in progress to take it, released to give it up, otherwise its outcome
 * @param knownVersion version of the row when the holder last wrote it; 0 when it takes the claim
 */
public record ClaimOperation(String key, ClaimRecord wanted, long knownVersion) {

    /** Tells whether the operation takes the claim. */
    public boolean takes() {
        return wanted.state() == ClaimState.IN_PROGRESS;
    }
}
