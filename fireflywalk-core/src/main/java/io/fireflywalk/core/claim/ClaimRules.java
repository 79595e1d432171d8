package io.fireflywalk.core.claim;

import java.util.Optional;

/**
 * Decides operations on claims. A key is granted only on a row that does not exist, is released, or has expired, so a
 * request runs at most once within the expiry. Stateless.
 */
public final class ClaimRules {
    private ClaimRules() {}

    /** Returns the result, or empty if the wanted claim is to be written over the existing row. */
    public static Optional<ClaimResult> decide(
            ClaimOperation operation, Optional<ClaimRecord> existing, long version, int expiryHours) {
        if (existing.isEmpty()) {
            // A release also writes, so that a delayed message cannot take the claim afterwards.
            return operation.takes() || operation.wanted().state() == ClaimState.RELEASED
                    ? Optional.empty()
                    : Optional.of(new ClaimResult(ClaimResult.Kind.SUPERSEDED, version, existing));
        }
        ClaimRecord present = existing.get();
        if (present.token().equals(operation.wanted().token())) {
            return decideOwn(operation, present, version);
        }
        if (!operation.takes()) {
            return Optional.of(new ClaimResult(ClaimResult.Kind.SUPERSEDED, version, existing));
        }
        boolean expired = operation.wanted().hour() - present.hour() > expiryHours;
        if (expired || present.state() == ClaimState.RELEASED) {
            return Optional.empty();
        }
        boolean sameRequest = present.requestDigest().equals(operation.wanted().requestDigest());
        return Optional.of(new ClaimResult(
                sameRequest ? ClaimResult.Kind.EXISTING : ClaimResult.Kind.MISMATCH, version, existing));
    }

    private static Optional<ClaimResult> decideOwn(ClaimOperation operation, ClaimRecord present, long version) {
        if (present.state() == operation.wanted().state()) {
            return Optional.of(new ClaimResult(ClaimResult.Kind.DONE, version, Optional.empty()));
        }
        return present.state() == ClaimState.IN_PROGRESS
                ? Optional.empty()
                : Optional.of(new ClaimResult(ClaimResult.Kind.SUPERSEDED, version, Optional.of(present)));
    }
}
