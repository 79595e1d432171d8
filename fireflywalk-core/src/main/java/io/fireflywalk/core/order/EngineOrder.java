package io.fireflywalk.core.order;

import java.util.Optional;

/**
 * Order as sent to an engine. An engine that checks fencing tokens refuses an order whose (token, generation) is below
 * the highest that it has accepted, and one that is meant for another incarnation of the engine, so that an order that
 * was under way during a crash has no effect on the restarted engine.
 *
 * @param id identifier; a repeated order has the same one
 * @param generation number of the order for this engine; only grows
 * @param token fencing token of the sender
 * @param sender incarnation of the sender
 * @param engineIncarnation incarnation of the engine for which the order is meant
 * @param assignment what the engine is to be; empty for a barrier, which only raises the engine's token
 */
public record EngineOrder(
        String id,
        long generation,
        long token,
        String sender,
        String engineIncarnation,
        Optional<EngineAssignment> assignment) {}
