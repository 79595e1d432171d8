package io.fireflywalk.standin;

import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.order.EngineAssignment;
import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderAnswer;
import io.fireflywalk.core.order.EngineState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Behaviour of an engine towards orders, for both kinds of engine, with a slow change and a record of every order and
 * of what it did. Time is given by the caller. Not thread-safe.
 */
public final class EngineOrderBook {
    /** Bound of the record; older entries are dropped. */
    private static final int MAXIMUM_RECEIVED = 100_000;

    private final OrderChecking checking;
    private final EngineAssignment initial;
    private final long changeNanoseconds;
    private final List<ReceivedOrder> received = new ArrayList<>();
    private int incarnationNumber = 1;
    private EngineAssignment assignment;
    private Optional<EngineOrder> change = Optional.empty();
    private long changeEndsAt;
    private long highestToken;
    private long highestGeneration;
    private String lastOrderId = "";

    public EngineOrderBook(OrderChecking checking, EngineAssignment initial, long changeNanoseconds) {
        this.checking = checking;
        this.initial = initial;
        this.assignment = initial;
        this.changeNanoseconds = changeNanoseconds;
    }

    /** What an order did at the engine. */
    public enum Effect {
        /** The engine refused it. */
        REFUSED,
        /** It repeated the last order, or was a barrier, or the engine already was what it asked for. */
        NONE,
        /** The engine began to change. */
        CHANGE,
        /** The engine began to change while another change was in progress. */
        CONFLICT
    }

    /** An order as received, with its effect. */
    public record ReceivedOrder(EngineOrder order, Effect effect, long at) {}

    /** Takes an order and answers it. */
    public EngineOrderAnswer receive(EngineOrder order, long now) {
        advance(now);
        Effect effect = checking == OrderChecking.CHECKS_FENCING_TOKEN ? receiveChecked(order) : classify(order);
        if (effect == Effect.CHANGE || effect == Effect.CONFLICT) {
            change = Optional.of(order);
            changeEndsAt = now + changeNanoseconds;
        }
        if (received.size() == MAXIMUM_RECEIVED) {
            received.remove(0);
        }
        received.add(new ReceivedOrder(order, effect, now));
        return new EngineOrderAnswer(effect != Effect.REFUSED, state(now));
    }

    /** Returns what the engine reports about itself. */
    public EngineState state(long now) {
        advance(now);
        return new EngineState("engine-" + incarnationNumber, assignment, change.isPresent(), highestToken);
    }

    /** Restarts the engine: an unfinished change and the highest token are forgotten. */
    public void crash(long now) {
        advance(now);
        incarnationNumber++;
        assignment = initial;
        change = Optional.empty();
        highestToken = 0;
        highestGeneration = 0;
        lastOrderId = "";
    }

    /** Returns all orders received, in order. */
    public List<ReceivedOrder> received() {
        return List.copyOf(received);
    }

    private Effect receiveChecked(EngineOrder order) {
        boolean stale = order.token() < highestToken
                || (order.token() == highestToken && order.generation() < highestGeneration);
        if (stale || !order.engineIncarnation().equals("engine-" + incarnationNumber)) {
            return Effect.REFUSED;
        }
        Effect effect = classify(order);
        if (effect == Effect.CONFLICT) {
            return Effect.REFUSED;
        }
        highestToken = order.token();
        highestGeneration = order.generation();
        return effect;
    }

    private Effect classify(EngineOrder order) {
        if (order.assignment().isEmpty()) {
            return Effect.NONE;
        }
        boolean repeated = order.id().equals(lastOrderId);
        EngineAssignment wanted = order.assignment().get();
        EngineAssignment heading = change.flatMap(EngineOrder::assignment).orElse(assignment);
        if (repeated || wanted.equals(heading)) {
            lastOrderId = order.id();
            return Effect.NONE;
        }
        if (change.isPresent()) {
            return Effect.CONFLICT;
        }
        lastOrderId = order.id();
        return Effect.CHANGE;
    }

    private void advance(long now) {
        if (change.isPresent() && now - changeEndsAt >= 0) {
            assignment = change.get().assignment().orElse(assignment);
            change = Optional.empty();
        }
    }
}
