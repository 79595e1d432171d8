package io.fireflywalk.core.claim;

import java.util.Optional;

/**
 * Result of an operation on a claim.
 *
 * @param kind what became of it
 * @param version version of the row after the operation
 * @param existing claim that stands in the way
 */
public record ClaimResult(Kind kind, long version, Optional<ClaimRecord> existing) {

    /** Kind of result. */
    public enum Kind {
        /** The table service holds the wanted claim. */
        DONE,
        /** The key is claimed for the same request. */
        EXISTING,
        /** The key is claimed for another request. */
        MISMATCH,
        /** The claim was given up before, or replaced after its expiry. */
        SUPERSEDED,
        /** The table service could not be asked; the operation may take effect later only if it is repeated. */
        UNAVAILABLE
    }
}
