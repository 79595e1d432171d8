package io.fireflywalk.services.order;

import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderResponse;
import io.fireflywalk.core.order.EngineState;
import io.reactivex.rxjava3.core.Single;

/**
 * Sends orders to engines. If {@code send} fails, the order may have been delivered or may still be delivered later.
 * Thread-safe.
 */
public interface EngineOrderClient {

    /** Sends an order and emits the engine's response. */
    Single<EngineOrderResponse> send(Target engine, EngineOrder order);

    /** Reads the engine's state. */
    Single<EngineState> state(Target engine);
}
