package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.RoutedService;
import io.fireflywalk.core.configuration.ServiceType;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.function.BooleanSupplier;

/** HTTP server for callers. Authenticates each request and dispatches it to its handler. Confined to one event loop. */
public final class GatewayServer {
    /** Header that carries the request identifier to the caller. */
    public static final String REQUEST_ID_HEADER = "x-fireflywalk-request-id";

    private static final String LOCATION = "gateway";
    private static final String MODEL_PREFIX = "/v1/";

    private final HttpServer server;
    private final GatewayContext context;
    private final BooleanSupplier mayServeAuthenticatedRoutes;
    private final ModelRequestHandler modelHandler;
    private final PlainRequestHandler plainHandler;
    private final CallerConnections connections;
    private boolean draining;
    private int requestsInFlight;

    public GatewayServer(Vertx vertx, GatewayContext context, BooleanSupplier mayServeAuthenticatedRoutes) {
        this.context = context;
        this.mayServeAuthenticatedRoutes = mayServeAuthenticatedRoutes;
        this.modelHandler = new ModelRequestHandler(context);
        this.plainHandler = new PlainRequestHandler(context);
        DaemonSettings.CallerLimits limits = context.settings().limits();
        this.connections = new CallerConnections(limits, context.timers());
        // With HTTP/2 upgrades enabled, a connection is reported only after its first bytes, so that silent connections
        // could not be counted.
        HttpServerOptions options = new HttpServerOptions()
                .setMaxInitialLineLength(limits.requestLineBytes())
                .setMaxHeaderSize(limits.headerBytes())
                .setHttp2ClearTextEnabled(false)
                .setHandle100ContinueAutomatically(true);
        this.server = vertx.createHttpServer(options)
                .connectionHandler(connection -> {
                    StrictRequestDecoder.install(connection, options);
                    connections.opened(connection);
                })
                .invalidRequestHandler(this::rejectInvalid)
                .requestHandler(this::handle);
    }

    /** Starts listening and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        connections.start();
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    /** Rejects new requests from now on and closes unused connections. */
    public void startDraining() {
        draining = true;
        connections.startDraining();
    }

    /** Returns whether no request is in flight and no caller connection is open that could carry another one. */
    public boolean isDrained() {
        return requestsInFlight == 0 && connections.isEmpty();
    }

    /** Returns the number of requests whose response has not ended. */
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
        HttpConnection connection = request.connection();
        boolean withinLimit = connections.requestStarted(connection);
        Duration writeLimit = Duration.ofMillis(context.settings().limits().idleCallerMilliseconds());
        ResponseCompletion completion = new ResponseCompletion(context.timers(), writeLimit, connection, () -> {
            requestsInFlight--;
            connections.requestEnded(connection);
        });
        request.response().closeHandler(ignored -> completion.complete());
        Optional<String> presentedKey = ApiKeyAuthenticator.presentedKey(request.headers());
        RequestScope scope =
                new RequestScope(requestId, request, context.snapshots().get(), "", presentedKey, completion);
        try {
            if (!withinLimit) {
                request.response().putHeader("connection", "close");
                throw new FireflywalkException(ErrorKind.CONNECTION_LIMIT, "too many connections", LOCATION);
            }
            dispatch(scope);
        } catch (FireflywalkException exception) {
            context.metrics().countRequest(exception.kind().code());
            scope.fail(exception);
        }
    }

    private void rejectInvalid(HttpServerRequest request) {
        Throwable cause = request.decoderResult().cause();
        ErrorKind kind = ErrorKind.INVALID_REQUEST;
        if (cause instanceof TooLongHttpLineException) {
            kind = ErrorKind.URL_TOO_LONG;
        } else if (cause instanceof TooLongHttpHeaderException) {
            kind = ErrorKind.HEADERS_TOO_LARGE;
        }
        // Omits the cause, because the message of the decoder may quote the request.
        var exception = new FireflywalkException(kind, "the request is not valid HTTP or too large", LOCATION);
        context.metrics().countRequest(kind.code());
        request.response().putHeader("connection", "close");
        ErrorResponder.respond(request.response(), UUID.randomUUID().toString(), exception);
    }

    private void dispatch(RequestScope unauthenticated) throws FireflywalkException {
        HttpServerRequest request = unauthenticated.request();
        if (draining) {
            request.response().putHeader("connection", "close");
            throw new FireflywalkException(ErrorKind.DRAINING, "the instance is shutting down", LOCATION);
        }
        RequestHead.requireWellFormed(request);
        ConfigurationSnapshot snapshot = unauthenticated.snapshot();
        String path = request.path();
        if (path.startsWith(MODEL_PREFIX)) {
            dispatchModel(unauthenticated.withAccount(authenticate(snapshot, request.headers())));
            return;
        }
        String method = request.method().name();
        Optional<RoutedService> routed = snapshot.plainRoute(path, method);
        if (routed.isEmpty()) {
            ErrorKind kind = snapshot.hasPlainRoute(path) ? ErrorKind.METHOD_NOT_ALLOWED : ErrorKind.UNKNOWN_ROUTE;
            throw new FireflywalkException(kind, "no route for this method and path", LOCATION);
        }
        String account = routed.get().route().openToAll() ? "" : authenticate(snapshot, request.headers());
        plainHandler.handle(unauthenticated.withAccount(account), routed.get());
    }

    private void dispatchModel(RequestScope scope) throws FireflywalkException {
        HttpServerRequest request = scope.request();
        switch (request.path()) {
            case "/v1/chat/completions", "/v1/completions" -> {
                requireMethod(request, HttpMethod.POST);
                modelHandler.handle(scope);
            }
            case "/v1/models" -> {
                requireMethod(request, HttpMethod.GET);
                listModels(scope);
            }
            default -> throw new FireflywalkException(ErrorKind.UNKNOWN_ROUTE, "unknown path", LOCATION);
        }
    }

    private String authenticate(ConfigurationSnapshot snapshot, MultiMap headers) throws FireflywalkException {
        if (!mayServeAuthenticatedRoutes.getAsBoolean()) {
            throw new FireflywalkException(
                    ErrorKind.CONFIGURATION_STALE, "the instance cannot tell whether the key is still valid", LOCATION);
        }
        return ApiKeyAuthenticator.authenticate(snapshot, headers);
    }

    private static void requireMethod(HttpServerRequest request, HttpMethod method) throws FireflywalkException {
        if (!request.method().equals(method)) {
            throw new FireflywalkException(ErrorKind.METHOD_NOT_ALLOWED, "the path takes " + method, LOCATION);
        }
    }

    private static void listModels(RequestScope scope) {
        JsonArray models = new JsonArray();
        scope.snapshot().services().stream()
                .filter(service -> service.type() == ServiceType.MODEL)
                .forEach(service -> models.add(new JsonObject()
                        .put("id", service.name())
                        .put("object", "model")
                        .put("owned_by", "fireflywalk")));
        scope.response().putHeader("content-type", "application/json");
        scope.end(new JsonObject().put("object", "list").put("data", models).toBuffer());
    }
}
