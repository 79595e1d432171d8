package io.fireflywalk.core.order;

import java.util.Optional;

/**
 * Durable intent of the latest platform order of one availability zone. There is one row per availability zone, so at
 * most one order is outstanding.
 *
 * @param order the order
 * @param token token under which the intent was written or last taken over
 * @param sender incarnation that wrote it or last took it over
 * @param outcome what the platform did; empty while the order is pending
 */
public record TargetOrderIntent(TargetOrder order, long token, String sender, Optional<TargetOrderOutcome> outcome) {

    /** Tells whether the order must still be driven to its end. */
    public boolean awaitsOutcome() {
        return outcome.isEmpty();
    }

    /** Returns the intent as taken over by a successor under the same order identifier. */
    public TargetOrderIntent takenOverBy(String incarnation, long newToken) {
        return new TargetOrderIntent(order, newToken, incarnation, outcome);
    }

    /** Returns the finished intent. */
    public TargetOrderIntent finished(TargetOrderOutcome result) {
        return new TargetOrderIntent(order, token, sender, Optional.of(result));
    }
}
