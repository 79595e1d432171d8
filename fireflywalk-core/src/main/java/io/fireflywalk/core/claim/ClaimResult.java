package io.fireflywalk.core.claim;

import java.util.Optional;

/**
 * Result of an operation on a claim.
 *
 * @param kind outcome of the operation
 * @param version version of the row after the operation
 * @param existing conflicting claim, if there is one
 */
public record ClaimResult(Kind kind, long version, Optional<ClaimRecord> existing) {

    /** Outcome of an operation on a claim. */
    public enum Kind {
        /** The table service holds the wanted claim. */
        DONE,
        /** The key is already claimed for the same request. */
        EXISTING,
        /** The key is already claimed for a different request. */
        MISMATCH,
        /** The claim was released earlier, or replaced after its expiry. */
        SUPERSEDED,
        /** The table service was unavailable; the operation takes effect later only if it is retried. */
        UNAVAILABLE
    }
}
