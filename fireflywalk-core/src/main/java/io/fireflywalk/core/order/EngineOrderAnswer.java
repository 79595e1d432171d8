package io.fireflywalk.core.order;

/**
 * Answer of an engine to an order.
 *
 * @param accepted true if the engine took the order or had taken the same one before
 * @param state state of the engine after the order
 */
public record EngineOrderAnswer(boolean accepted, EngineState state) {}
