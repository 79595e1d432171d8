package io.fireflywalk.core.order;

import java.util.ArrayList;
import java.util.List;

/**
 * Durable intent of the latest order to one engine. There is one row per engine, so at most one order is pending.
 *
 * @param engine name of the engine
 * @param orderId identifier of the order
 * @param generation number of the order for this engine; monotonically increasing
 * @param assignment assignment to apply
 * @param status whether the order is settled
 * @param senders processes that may have sent the order
 * @param inRotation false while the engine must not receive new requests because it may be applying the order
 */
public record EngineOrderIntent(
        String engine,
        String orderId,
        long generation,
        EngineAssignment assignment,
        Status status,
        List<OrderSender> senders,
        boolean inRotation) {

    /** State of the order. */
    public enum Status {
        /** The order may still take effect. */
        PENDING,
        /** The order has taken effect, and no copy of it can take effect later. */
        EFFECTIVE,
        /** The order has not taken effect or its effect was lost, and no copy of it can take effect later. */
        WITHOUT_EFFECT,
        /** The order could not be settled, and the engine must be replaced. */
        REPLACE_ENGINE
    }

    public EngineOrderIntent {
        senders = List.copyOf(senders);
    }

    /** Returns the intent of a new order with its first sender. */
    public static EngineOrderIntent pending(
            String engine, String orderId, long generation, EngineAssignment assignment, OrderSender sender) {
        return new EngineOrderIntent(engine, orderId, generation, assignment, Status.PENDING, List.of(sender), false);
    }

    /** Returns whether the process is stored as a sender under the token and has not closed. */
    public boolean hasOpenSender(String incarnation, long token) {
        return senders.contains(new OrderSender(incarnation, token, false));
    }

    /** Returns the intent with the process added as an open sender. */
    public EngineOrderIntent withSender(String incarnation, long token) {
        List<OrderSender> all = new ArrayList<>(senders);
        all.add(new OrderSender(incarnation, token, false));
        return with(status, all, inRotation);
    }

    /** Returns the intent with the process marked as closed. */
    public EngineOrderIntent closedBy(String incarnation) {
        List<OrderSender> all = senders.stream()
                .map(sender -> sender.incarnation().equals(incarnation)
                        ? new OrderSender(incarnation, sender.token(), true)
                        : sender)
                .toList();
        return with(status, all, inRotation);
    }

    /** Returns the intent with the engine back in rotation. */
    public EngineOrderIntent returnedToRotation() {
        return with(status, senders, true);
    }

    /** Returns the settled intent. The engine is in rotation again unless it is to be replaced. */
    public EngineOrderIntent settled(Status settledStatus) {
        return with(settledStatus, senders, settledStatus != Status.REPLACE_ENGINE);
    }

    private EngineOrderIntent with(Status newStatus, List<OrderSender> newSenders, boolean newInRotation) {
        return new EngineOrderIntent(engine, orderId, generation, assignment, newStatus, newSenders, newInRotation);
    }
}
