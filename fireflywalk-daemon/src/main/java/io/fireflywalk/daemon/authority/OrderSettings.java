package io.fireflywalk.daemon.authority;

import java.time.Duration;

/**
 * Settings for executing orders.
 *
 * @param roundPeriod time between two passes over the pending orders
 * @param roundDeadline deadline of one pass
 * @param deliveryBound time after sending until which a request can still take effect at a receiver that ignores
 *     fencing tokens
 * @param replacementLimit time that an engine may leave an order unsettled before it is replaced
 */
public record OrderSettings(
        Duration roundPeriod, Duration roundDeadline, Duration deliveryBound, Duration replacementLimit) {

    public static OrderSettings defaults() {
        return new OrderSettings(
                Duration.ofMillis(500), Duration.ofSeconds(8), Duration.ofSeconds(10), Duration.ofSeconds(120));
    }
}
