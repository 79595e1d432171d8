package io.fireflywalk.core.claim;

import java.util.Optional;

/**
 * Decides whether an operation on a claim may be written. A key can be claimed only if its row does not exist, is
 * released or has expired, so a request runs at most once within the expiry period. Stateless.
 */
public final class ClaimRules {
    private ClaimRules() {}

    /** Returns the result, or empty if the wanted claim must be written to the row. */
    public static Optional<ClaimResult> decide(
            ClaimOperation operation, Optional<ClaimRecord> existing, long version, int expiryHours) {
        if (existing.isEmpty()) {
            // A release is written even without a row, so that a delayed message cannot acquire the claim afterwards.
            return operation.acquires() || operation.wanted().state() == ClaimState.RELEASED
                    ? Optional.empty()
                    : Optional.of(new ClaimResult(ClaimResult.Kind.SUPERSEDED, version, existing));
        }
        ClaimRecord current = existing.get();
        if (current.token().equals(operation.wanted().token())) {
            return decideForHolder(operation, current, version);
        }
        if (!operation.acquires()) {
            return Optional.of(new ClaimResult(ClaimResult.Kind.SUPERSEDED, version, existing));
        }
        boolean expired = operation.wanted().hour() - current.hour() > expiryHours;
        if (expired || current.state() == ClaimState.RELEASED) {
            return Optional.empty();
        }
        boolean sameRequest = current.requestDigest().equals(operation.wanted().requestDigest());
        return Optional.of(new ClaimResult(
                sameRequest ? ClaimResult.Kind.EXISTING : ClaimResult.Kind.MISMATCH, version, existing));
    }

    private static Optional<ClaimResult> decideForHolder(ClaimOperation operation, ClaimRecord current, long version) {
        if (current.state() == operation.wanted().state()) {
            return Optional.of(new ClaimResult(ClaimResult.Kind.DONE, version, Optional.empty()));
        }
        return current.state() == ClaimState.IN_PROGRESS
                ? Optional.empty()
                : Optional.of(new ClaimResult(ClaimResult.Kind.SUPERSEDED, version, Optional.of(current)));
    }
}
