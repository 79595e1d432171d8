package io.fireflywalk.standin;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderAnswer;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;

/** Order interface of the stand-in engine over HTTP. Runs on one event loop. */
public final class EngineOrderHandler {
    /** Path of orders; with the suffix {@code /received} it lists every order received. */
    public static final String PATH = "/engine/v1/orders";

    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CONFLICT = 409;

    private final EngineOrderBook book;
    private final TimerService timers;

    public EngineOrderHandler(EngineOrderBook book, TimerService timers) {
        this.book = book;
        this.timers = timers;
    }

    /** Answers a request whose path begins with {@link #PATH}. */
    public void handle(HttpServerRequest request) {
        if (request.method().equals(HttpMethod.POST) && request.path().equals(PATH)) {
            request.body().onSuccess(body -> receive(request, body.toString()));
        } else if (request.method().equals(HttpMethod.GET) && request.path().equals(PATH)) {
            reply(request, STATUS_OK, book.state(timers.monotonicNanoseconds()));
        } else if (request.method().equals(HttpMethod.GET) && request.path().equals(PATH + "/received")) {
            reply(request, STATUS_OK, book.received());
        } else {
            request.response().setStatusCode(STATUS_NOT_FOUND).end();
        }
    }

    private void receive(HttpServerRequest request, String body) {
        try {
            EngineOrder order = Codec.json().read(body, EngineOrder.class, "request body");
            EngineOrderAnswer answer = book.receive(order, timers.monotonicNanoseconds());
            reply(request, answer.accepted() ? STATUS_OK : STATUS_CONFLICT, answer);
        } catch (FireflywalkException exception) {
            request.response().setStatusCode(STATUS_BAD_REQUEST).end(exception.getMessage());
        }
    }

    private static void reply(HttpServerRequest request, int status, Object body) {
        request.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(Codec.json().write(body));
    }
}
