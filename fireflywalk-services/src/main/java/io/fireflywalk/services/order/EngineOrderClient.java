package io.fireflywalk.services.order;

import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderAnswer;
import io.fireflywalk.core.order.EngineState;
import io.reactivex.rxjava3.core.Single;

/**
 * Sends orders to engines. A failure of {@code send} says nothing about whether the order arrived or will arrive.
 * Thread-safe.
 */
public interface EngineOrderClient {

    /** Sends an order and emits the engine's answer. */
    Single<EngineOrderAnswer> send(Target engine, EngineOrder order);

    /** Reads the engine's state. */
    Single<EngineState> state(Target engine);
}
