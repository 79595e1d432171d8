package io.fireflywalk.standin;

import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.order.EngineAssignment;
import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderResponse;
import io.fireflywalk.core.order.EngineState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Simulates how a model engine handles orders, with or without checks of the fencing token. A change of assignment
 * takes a fixed time, and each order is recorded with its effect. The caller passes the monotonic time in nanoseconds.
 * Not thread-safe.
 */
public final class SimulatedOrderEngine {
    /** Beyond this number the oldest record is dropped. */
    private static final int MAXIMUM_RECORDED_ORDERS = 100_000;

    private final OrderChecking orderChecking;
    private final EngineAssignment initial;
    private final long changeNanoseconds;
    private final List<ReceivedOrder> received = new ArrayList<>();
    private int incarnationNumber = 1;
    private EngineAssignment assignment;
    private Optional<EngineOrder> orderInProgress = Optional.empty();
    private long changeEndsAtNanoseconds;
    private long highestToken;
    private long highestGeneration;
    private String lastOrderId = "";

    public SimulatedOrderEngine(OrderChecking orderChecking, EngineAssignment initial, long changeNanoseconds) {
        this.orderChecking = orderChecking;
        this.initial = initial;
        this.assignment = initial;
        this.changeNanoseconds = changeNanoseconds;
    }

    /** Effect of an order on the engine. */
    public enum Effect {
        /** The engine refused it. */
        REFUSED,
        /** It repeated the last order, was a send barrier, or named the pending (if none, the current) assignment. */
        NONE,
        /** The engine started a change of assignment. */
        CHANGE,
        /** The engine started a change while another was in progress; only possible without fencing token checks. */
        CONFLICT
    }

    /** Record of an order, with its effect and the time of its arrival. */
    public record ReceivedOrder(EngineOrder order, Effect effect, long at) {}

    /** Applies an order and returns the response. */
    public EngineOrderResponse receive(EngineOrder order, long now) {
        completeDueChange(now);
        Effect effect = orderChecking == OrderChecking.CHECKS_FENCING_TOKEN ? applyWithFencing(order) : apply(order);
        if (effect == Effect.CHANGE || effect == Effect.CONFLICT) {
            orderInProgress = Optional.of(order);
            changeEndsAtNanoseconds = now + changeNanoseconds;
        }
        if (received.size() == MAXIMUM_RECORDED_ORDERS) {
            received.remove(0);
        }
        received.add(new ReceivedOrder(order, effect, now));
        return new EngineOrderResponse(effect != Effect.REFUSED, state(now));
    }

    /** Returns the state that the engine reports. */
    public EngineState state(long now) {
        completeDueChange(now);
        return new EngineState("engine-" + incarnationNumber, assignment, orderInProgress.isPresent(), highestToken);
    }

    /** Simulates a crash and restart, which lose the change in progress and the highest token. */
    public void crashAndRestart(long now) {
        completeDueChange(now);
        incarnationNumber++;
        assignment = initial;
        orderInProgress = Optional.empty();
        highestToken = 0;
        highestGeneration = 0;
        lastOrderId = "";
    }

    /** Returns the recorded orders, oldest first. */
    public List<ReceivedOrder> received() {
        return List.copyOf(received);
    }

    private Effect applyWithFencing(EngineOrder order) {
        boolean stale = order.token() < highestToken
                || (order.token() == highestToken && order.generation() < highestGeneration);
        if (stale || !order.engineIncarnation().equals("engine-" + incarnationNumber)) {
            return Effect.REFUSED;
        }
        Effect effect = apply(order);
        if (effect == Effect.CONFLICT) {
            return Effect.REFUSED;
        }
        highestToken = order.token();
        highestGeneration = order.generation();
        return effect;
    }

    private Effect apply(EngineOrder order) {
        if (order.assignment().isEmpty()) {
            return Effect.NONE;
        }
        boolean repeated = order.id().equals(lastOrderId);
        EngineAssignment requested = order.assignment().get();
        EngineAssignment nextAssignment =
                orderInProgress.flatMap(EngineOrder::assignment).orElse(assignment);
        if (repeated || requested.equals(nextAssignment)) {
            lastOrderId = order.id();
            return Effect.NONE;
        }
        if (orderInProgress.isPresent()) {
            return Effect.CONFLICT;
        }
        lastOrderId = order.id();
        return Effect.CHANGE;
    }

    private void completeDueChange(long now) {
        if (orderInProgress.isPresent() && now - changeEndsAtNanoseconds >= 0) {
            assignment = orderInProgress.get().assignment().orElse(assignment);
            orderInProgress = Optional.empty();
        }
    }
}
