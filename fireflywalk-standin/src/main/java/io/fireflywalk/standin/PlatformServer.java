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
 * Serves the platform's target API over HTTP with JSON. Under {@code /standin/v1} a test injects faults (a number of
 * responses to drop after execution, or an outage that fails every call with status 503), sets the status of instances,
 * and lists the orders received and executed. Runs on one event loop.
 */
public final class PlatformServer {
    private static final String ORDERS_PATH = "/platform/v1/orders";
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_UNAVAILABLE = 503;

    private final HttpServer server;
    private final SimulatedPlatform platform;
    private final TimerService timers;
    private final List<ReceivedOrder> receivedOrders = new ArrayList<>();
    private int responsesToDrop;
    private boolean outage;

    public PlatformServer(Vertx vertx, SimulatedPlatform platform, TimerService timers) {
        this.platform = platform;
        this.timers = timers;
        this.server = vertx.createHttpServer().requestHandler(this::handle);
    }

    /** Starts to listen and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        boolean isPost = request.method().equals(HttpMethod.POST);
        if (path.startsWith("/standin/v1/")) {
            handleTestCommand(request, path.substring("/standin/v1/".length()));
        } else if (outage) {
            request.response().setStatusCode(STATUS_UNAVAILABLE).end();
        } else if (isPost && path.equals(ORDERS_PATH)) {
            request.body().onSuccess(body -> execute(request, body.toString()));
        } else if (path.startsWith(ORDERS_PATH + "/")) {
            String id = URLDecoder.decode(path.substring(ORDERS_PATH.length() + 1), StandardCharsets.UTF_8);
            Optional<TargetOrderOutcome> outcome = platform.findOutcome(id);
            if (outcome.isPresent()) {
                respond(request, outcome.get());
            } else {
                request.response().setStatusCode(STATUS_NOT_FOUND).end();
            }
        } else if (path.equals("/platform/v1/targets")) {
            respond(request, platform.targets(request.getParam("zone", "")));
        } else if (path.equals("/platform/v1/instances")) {
            respond(request, platform.instances(timers.monotonicNanoseconds()));
        } else {
            request.response().setStatusCode(STATUS_NOT_FOUND).end();
        }
    }

    private void execute(HttpServerRequest request, String body) {
        try {
            TargetOrder order = Codec.json().read(body, TargetOrder.class, "request body");
            TargetOrderOutcome outcome = platform.execute(order);
            receivedOrders.add(new ReceivedOrder(order.id(), timers.wallClockMilliseconds()));
            if (responsesToDrop > 0) {
                responsesToDrop--;
                request.connection().close();
                return;
            }
            respond(request, outcome);
        } catch (FireflywalkException exception) {
            request.response().setStatusCode(STATUS_BAD_REQUEST).end(exception.getMessage());
        }
    }

    private void handleTestCommand(HttpServerRequest request, String command) {
        switch (command) {
            case "lose-answers" -> responsesToDrop = Integer.parseInt(request.getParam("count", "1"));
            case "outage" -> outage = Boolean.parseBoolean(request.getParam("on", "true"));
            case "instance" ->
                platform.recordInstanceStatus(
                        request.getParam("incarnation", ""),
                        PlatformInstance.Status.valueOf(request.getParam("status", "LIVE")),
                        timers.monotonicNanoseconds());
            case "received" -> {
                respond(request, receivedOrders);
                return;
            }
            case "executed" -> {
                respond(request, platform.executedOrders());
                return;
            }
            default -> {
                request.response().setStatusCode(STATUS_NOT_FOUND).end();
                return;
            }
        }
        respond(request, List.of());
    }

    private static void respond(HttpServerRequest request, Object body) {
        request.response()
                .setStatusCode(STATUS_OK)
                .putHeader("content-type", "application/json")
                .end(Codec.json().write(body));
    }

    /** Receipt of an order, with the wall-clock time. */
    public record ReceivedOrder(String orderId, long wallClockMilliseconds) {}
}
