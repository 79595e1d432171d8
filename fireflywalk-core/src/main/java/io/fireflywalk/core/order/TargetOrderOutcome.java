package io.fireflywalk.core.order;

import java.util.List;

/**
 * Result of an order at the platform.
 *
 * @param orderId identifier of the order
 * @param executed true if the order was executed; false if the platform rejected it permanently
 * @param targets names of the targets that were ordered or released
 */
public record TargetOrderOutcome(String orderId, boolean executed, List<String> targets) {

    public TargetOrderOutcome {
        targets = List.copyOf(targets);
    }
}
