package io.fireflywalk.standin;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderResponse;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;

/** HTTP endpoint for orders to the stand-in engine. Runs on one event loop. */
public final class EngineOrderHandler {
    /** Path of orders; {@code /received} below it lists the recorded orders. */
    public static final String ORDERS_PATH = "/engine/v1/orders";

    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CONFLICT = 409;

    private final SimulatedOrderEngine engine;
    private final TimerService timers;

    public EngineOrderHandler(SimulatedOrderEngine engine, TimerService timers) {
        this.engine = engine;
        this.timers = timers;
    }

    /** Handles a request whose path begins with {@link #ORDERS_PATH}. */
    public void handle(HttpServerRequest request) {
        if (request.method().equals(HttpMethod.POST) && request.path().equals(ORDERS_PATH)) {
            request.body().onSuccess(body -> receive(request, body.toString()));
        } else if (request.method().equals(HttpMethod.GET) && request.path().equals(ORDERS_PATH)) {
            respond(request, STATUS_OK, engine.state(timers.monotonicNanoseconds()));
        } else if (request.method().equals(HttpMethod.GET) && request.path().equals(ORDERS_PATH + "/received")) {
            respond(request, STATUS_OK, engine.received());
        } else {
            request.response().setStatusCode(STATUS_NOT_FOUND).end();
        }
    }

    private void receive(HttpServerRequest request, String body) {
        try {
            EngineOrder order = Codec.json().read(body, EngineOrder.class, "request body");
            EngineOrderResponse response = engine.receive(order, timers.monotonicNanoseconds());
            respond(request, response.accepted() ? STATUS_OK : STATUS_CONFLICT, response);
        } catch (FireflywalkException exception) {
            request.response().setStatusCode(STATUS_BAD_REQUEST).end(exception.getMessage());
        }
    }

    private static void respond(HttpServerRequest request, int status, Object body) {
        request.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(Codec.json().write(body));
    }
}
