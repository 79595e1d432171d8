package io.fireflywalk.core.placement;

/**
 * What is known of an order to an engine.
 *
 * @param changeId change that the order belongs to
 * @param outcome outcome
 */
public record OrderReport(String changeId, Outcome outcome) {

    /** Outcomes of orders to engines; absence of a report means that the outcome is unknown. */
    public enum Outcome {
        /** The engine has confirmed the order and serves as ordered. */
        CONFIRMED,
        /** The order has failed and can take no effect any more. */
        FAILED
    }
}
