package io.fireflywalk.core.order;

/**
 * State that an engine reports about itself and in its answer to an order.
 *
 * @param incarnation incarnation of the engine; another one after a restart
 * @param assignment what the engine is
 * @param changing true while it changes to another assignment
 * @param highestToken highest fencing token accepted in this incarnation; 0 if it does not check
 */
public record EngineState(String incarnation, EngineAssignment assignment, boolean changing, long highestToken) {}
