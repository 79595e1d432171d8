package io.fireflywalk.services.order;

import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderResponse;
import io.fireflywalk.core.order.EngineState;
import io.fireflywalk.services.codec.Codec;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;

/** Sends orders to engines over HTTP with JSON bodies. Thread-safe. */
public final class HttpEngineOrderClient implements EngineOrderClient {
    private static final String PATH = "/engine/v1/orders";
    private static final int STATUS_OK = 200;
    private static final int STATUS_CONFLICT = 409;

    private final JsonHttpClient client;

    public HttpEngineOrderClient(Vertx vertx, Duration deadline) {
        this.client = new JsonHttpClient(vertx, deadline);
    }

    @Override
    public Single<EngineOrderResponse> send(Target engine, EngineOrder order) {
        return client.call(
                        HttpMethod.POST,
                        engine.host(),
                        engine.port(),
                        PATH,
                        Codec.json().write(order))
                .map(response -> response.requireStatus(engine.name(), STATUS_OK, STATUS_CONFLICT))
                .map(response -> Codec.json().read(response.body(), EngineOrderResponse.class, engine.name()));
    }

    @Override
    public Single<EngineState> state(Target engine) {
        return client.call(HttpMethod.GET, engine.host(), engine.port(), PATH, "")
                .map(response -> response.requireStatus(engine.name(), STATUS_OK))
                .map(response -> Codec.json().read(response.body(), EngineState.class, engine.name()));
    }
}
