package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.RoutedService;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** HTTP server for callers. Authenticates each request and hands it to its handler. Confined to one event loop. */
public final class GatewayServer {
    /** Header that carries the request identifier to the caller. */
    public static final String REQUEST_ID_HEADER = "x-fireflywalk-request-id";

    private static final String MODEL_PREFIX = "/v1/";

    private final HttpServer server;
    private final Supplier<ConfigurationSnapshot> snapshots;
    private final BooleanSupplier mayServeKeyedRoutes;
    private final ModelRequestHandler modelHandler;
    private final PlainRequestHandler plainHandler;
    private boolean draining;
    private int requestsInFlight;

    public GatewayServer(
            Vertx vertx,
            DaemonSettings settings,
            Supplier<ConfigurationSnapshot> snapshots,
            BooleanSupplier mayServeKeyedRoutes,
            ModelRequestHandler modelHandler,
            PlainRequestHandler plainHandler) {
        this.snapshots = snapshots;
        this.mayServeKeyedRoutes = mayServeKeyedRoutes;
        this.modelHandler = modelHandler;
        this.plainHandler = plainHandler;
        this.server = vertx.createHttpServer(new HttpServerOptions()
                        .setMaxInitialLineLength(settings.limits().requestLineBytes())
                        .setMaxHeaderSize(settings.limits().headerBytes())
                        .setHandle100ContinueAutomatically(true))
                .requestHandler(this::handle);
    }

    /** Starts to listen and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    /** Refuses new requests from now on. */
    public void refuseNewRequests() {
        draining = true;
    }

    /** Returns the number of requests whose answer has not ended. */
    public int requestsInFlight() {
        return requestsInFlight;
    }

    /** Closes the listening socket and all connections. */
    public Future<Void> close() {
        return server.close();
    }

    private void handle(HttpServerRequest request) {
        String requestId = UUID.randomUUID().toString();
        request.response().putHeader(REQUEST_ID_HEADER, requestId);
        requestsInFlight++;
        boolean[] counted = {true};
        Runnable ended = () -> {
            if (counted[0]) {
                counted[0] = false;
                requestsInFlight--;
            }
        };
        request.response().endHandler(ignored -> ended.run()).closeHandler(ignored -> ended.run());
        try {
            dispatch(requestId, request);
        } catch (FireflywalkException exception) {
            ErrorResponder.respond(request.response(), requestId, exception);
        }
    }

    private void dispatch(String requestId, HttpServerRequest request) throws FireflywalkException {
        if (draining) {
            request.response().putHeader("connection", "close");
            throw new FireflywalkException(ErrorKind.DRAINING, "the instance is shutting down", "gateway");
        }
        ConfigurationSnapshot snapshot = snapshots.get();
        String path = request.path();
        if (path.startsWith(MODEL_PREFIX)) {
            dispatchModel(requestId, request, snapshot);
            return;
        }
        String method = request.method().name();
        Optional<RoutedService> routed = snapshot.plainRoute(path, method);
        if (routed.isEmpty()) {
            ErrorKind kind = snapshot.hasPlainPath(path) ? ErrorKind.METHOD_NOT_ALLOWED : ErrorKind.UNKNOWN_ROUTE;
            throw new FireflywalkException(kind, "no route for " + method + " on this path", "gateway");
        }
        String account = routed.get().route().openToAll() ? "" : authenticate(snapshot, request);
        plainHandler.handle(new RequestScope(requestId, request, snapshot, account), routed.get());
    }

    private void dispatchModel(String requestId, HttpServerRequest request, ConfigurationSnapshot snapshot)
            throws FireflywalkException {
        String account = authenticate(snapshot, request);
        RequestScope scope = new RequestScope(requestId, request, snapshot, account);
        switch (request.path()) {
            case "/v1/chat/completions", "/v1/completions" -> {
                requireMethod(request, HttpMethod.POST);
                modelHandler.handle(scope);
            }
            case "/v1/models" -> {
                requireMethod(request, HttpMethod.GET);
                listModels(scope);
            }
            default -> throw new FireflywalkException(ErrorKind.UNKNOWN_ROUTE, "unknown path", "gateway");
        }
    }

    private String authenticate(ConfigurationSnapshot snapshot, HttpServerRequest request) throws FireflywalkException {
        if (!mayServeKeyedRoutes.getAsBoolean()) {
            throw new FireflywalkException(
                    ErrorKind.CONFIGURATION_STALE,
                    "the instance cannot tell whether the key is still valid",
                    "gateway");
        }
        return KeyAuthenticator.authenticate(snapshot, request.headers());
    }

    private static void requireMethod(HttpServerRequest request, HttpMethod method) throws FireflywalkException {
        if (!request.method().equals(method)) {
            throw new FireflywalkException(ErrorKind.METHOD_NOT_ALLOWED, "the path takes " + method, "gateway");
        }
    }

    private static void listModels(RequestScope scope) {
        JsonArray models = new JsonArray();
        scope.snapshot().services().stream()
                .filter(service -> service.routes().isEmpty())
                .forEach(service -> models.add(new JsonObject()
                        .put("id", service.name())
                        .put("object", "model")
                        .put("owned_by", "fireflywalk")));
        scope.request()
                .response()
                .putHeader("content-type", "application/json")
                .end(new JsonObject().put("object", "list").put("data", models).encode());
    }
}
