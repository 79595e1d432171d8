package io.fireflywalk.core.order;

/**
 * Response of an engine to an order.
 *
 * @param accepted true if the engine accepted the order now or earlier
 * @param state state of the engine after the order
 */
public record EngineOrderResponse(boolean accepted, EngineState state) {}
