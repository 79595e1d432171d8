package io.fireflywalk.core.order;

import java.util.Optional;

/**
 * Order as sent to an engine. An engine that checks fencing tokens rejects an order whose (token, generation) is below
 * the highest that it has accepted, and an order meant for another incarnation of the engine, so that an order that was
 * in transit during a crash has no effect on the restarted engine.
 *
 * @param id identifier; the same for each repetition of the order
 * @param generation number of the order for this engine; monotonically increasing
 * @param token fencing token of the sender
 * @param sender incarnation of the sender
 * @param engineIncarnation incarnation of the engine for which the order is meant
 * @param assignment assignment to apply; empty for a barrier, which only raises the engine's highest accepted token
 */
public record EngineOrder(
        String id,
        long generation,
        long token,
        String sender,
        String engineIncarnation,
        Optional<EngineAssignment> assignment) {}
