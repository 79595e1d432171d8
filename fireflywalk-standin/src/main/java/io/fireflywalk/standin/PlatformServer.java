package io.fireflywalk.standin;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.core.order.TargetOrderOutcome;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.order.PlatformInstance;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The platform's target interface over HTTP with JSON. Under {@code /standin/v1} a test sets faults: a number of answers
 * to lose after execution, and an outage that refuses every call. Runs on one event loop.
 */
public final class PlatformServer {
    private static final String ORDERS = "/platform/v1/orders";
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_UNAVAILABLE = 503;

    private final HttpServer server;
    private final PlatformLedger ledger;
    private final TimerService timers;
    private final List<ReceivedCall> received = new ArrayList<>();
    private int answersToLose;
    private boolean outage;

    public PlatformServer(Vertx vertx, PlatformLedger ledger, TimerService timers) {
        this.ledger = ledger;
        this.timers = timers;
        this.server = vertx.createHttpServer().requestHandler(this::handle);
    }

    /** Starts to listen and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        boolean post = request.method().equals(HttpMethod.POST);
        if (path.startsWith("/standin/v1/")) {
            control(request, path.substring("/standin/v1/".length()));
        } else if (outage) {
            request.response().setStatusCode(STATUS_UNAVAILABLE).end();
        } else if (post && path.equals(ORDERS)) {
            request.body().onSuccess(body -> execute(request, body.toString()));
        } else if (path.startsWith(ORDERS + "/")) {
            String id = URLDecoder.decode(path.substring(ORDERS.length() + 1), StandardCharsets.UTF_8);
            Optional<TargetOrderOutcome> outcome = ledger.find(id);
            if (outcome.isPresent()) {
                reply(request, outcome.get());
            } else {
                request.response().setStatusCode(STATUS_NOT_FOUND).end();
            }
        } else if (path.equals("/platform/v1/targets")) {
            reply(request, ledger.targets(request.getParam("zone", "")));
        } else if (path.equals("/platform/v1/instances")) {
            reply(request, ledger.instances(timers.monotonicNanoseconds()));
        } else {
            request.response().setStatusCode(STATUS_NOT_FOUND).end();
        }
    }

    private void execute(HttpServerRequest request, String body) {
        try {
            TargetOrder order = Codec.json().read(body, TargetOrder.class, "request body");
            TargetOrderOutcome outcome = ledger.execute(order);
            received.add(new ReceivedCall(order.id(), timers.wallClockMilliseconds()));
            if (answersToLose > 0) {
                answersToLose--;
                request.connection().close();
                return;
            }
            reply(request, outcome);
        } catch (FireflywalkException exception) {
            request.response().setStatusCode(STATUS_BAD_REQUEST).end(exception.getMessage());
        }
    }

    private void control(HttpServerRequest request, String command) {
        switch (command) {
            case "lose-answers" -> answersToLose = Integer.parseInt(request.getParam("count", "1"));
            case "outage" -> outage = Boolean.parseBoolean(request.getParam("on", "true"));
            case "instance" ->
                ledger.setInstance(
                        request.getParam("incarnation", ""),
                        PlatformInstance.Status.valueOf(request.getParam("status", "LIVE")),
                        timers.monotonicNanoseconds());
            case "received" -> {
                reply(request, received);
                return;
            }
            case "executed" -> {
                reply(request, ledger.executedOrders());
                return;
            }
            default -> {
                request.response().setStatusCode(STATUS_NOT_FOUND).end();
                return;
            }
        }
        reply(request, List.of());
    }

    private static void reply(HttpServerRequest request, Object body) {
        request.response()
                .setStatusCode(STATUS_OK)
                .putHeader("content-type", "application/json")
                .end(Codec.json().write(body));
    }

    /** An order as received, with the wall-clock time. */
    public record ReceivedCall(String orderId, long wallClockMilliseconds) {}
}
