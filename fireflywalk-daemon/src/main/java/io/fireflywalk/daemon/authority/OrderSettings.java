package io.fireflywalk.daemon.authority;

import java.time.Duration;

/**
 * Settings of orders.
 *
 * @param drivePeriod time between rounds over pending orders
 * @param roundDeadline longest time of one round
 * @param deliveryBound longest time after which a request that was sent can still take effect at a receiver that
 *     ignores fencing tokens
 * @param replacementLimit how long an engine may leave an order unsettled before it is replaced
 */
public record OrderSettings(
        Duration drivePeriod, Duration roundDeadline, Duration deliveryBound, Duration replacementLimit) {

    /** Returns the defaults. */
    public static OrderSettings defaults() {
        return new OrderSettings(
                Duration.ofMillis(500), Duration.ofSeconds(8), Duration.ofSeconds(10), Duration.ofSeconds(120));
    }
}
