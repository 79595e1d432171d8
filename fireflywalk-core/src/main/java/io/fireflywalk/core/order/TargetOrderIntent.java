package io.fireflywalk.core.order;

import java.util.Optional;

/**
 * Durable intent of the latest platform order for one availability zone. There is one row per availability zone, so at
 * most one order is pending.
 *
 * @param order the order
 * @param token fencing token under which the intent was written or last taken over
 * @param sender incarnation that wrote the intent or last took it over
 * @param outcome result at the platform; empty while the order is pending
 */
public record TargetOrderIntent(TargetOrder order, long token, String sender, Optional<TargetOrderOutcome> outcome) {

    /** Returns whether the order is pending, so that it must be repeated until its outcome is known. */
    public boolean awaitsOutcome() {
        return outcome.isEmpty();
    }

    /** Returns the intent after its takeover by another process; the order identifier stays the same. */
    public TargetOrderIntent takenOverBy(String incarnation, long newToken) {
        return new TargetOrderIntent(order, newToken, incarnation, outcome);
    }

    public TargetOrderIntent withOutcome(TargetOrderOutcome result) {
        return new TargetOrderIntent(order, token, sender, Optional.of(result));
    }
}
