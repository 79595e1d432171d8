package io.fireflywalk.core.order;

/**
 * State that an engine reports on request and in its response to an order.
 *
 * @param incarnation incarnation of the engine; changes with each restart
 * @param assignment current assignment
 * @param changing true while the engine is applying another assignment
 * @param highestToken highest fencing token accepted in this incarnation; 0 if the engine does not check tokens
 */
public record EngineState(String incarnation, EngineAssignment assignment, boolean changing, long highestToken) {}
