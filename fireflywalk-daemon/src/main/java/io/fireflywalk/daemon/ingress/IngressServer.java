package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.CallerBounds;
import io.fireflywalk.core.ingress.CallerLimits;
import io.fireflywalk.core.ingress.CallerMemory;
import io.fireflywalk.core.ingress.HostRoute;
import io.fireflywalk.core.ingress.RequestDescription;
import io.fireflywalk.core.ingress.RoutingConfiguration;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.jboss.logging.Logger;

/** HTTP server for callers: authenticates and routes each request. Confined to one event loop. */
final class IngressServer {
    private static final Logger LOG = Logger.getLogger(IngressServer.class);
    private static final String LOCATION = "ingress";
    /** Limits of callers' connections until a configuration states them. */
    private static final CallerLimits DEFAULT_LIMITS =
            new CallerLimits(0, Integer.MAX_VALUE, Duration.ofSeconds(30), Duration.ZERO);

    private static final Duration IDLE_CHECK_INTERVAL = Duration.ofSeconds(1);
    /** Time that a caller gets to send a request on a connection before the connection counts as idle. */
    private static final Duration MINIMUM_IDLE_TIME = Duration.ofMillis(300);

    private final IngressContext context;
    private final TargetConcurrencyLimits limits;
    private final Vertx vertx;
    private final CallerBounds bounds;
    private final ListenerGuard guard;
    private final StartupGate gate;
    private final Set<CallerExchange> requestsInFlight = new HashSet<>();
    private Optional<HttpServer> listener = Optional.empty();
    private boolean rejectingNewRequests;

    IngressServer(
            Vertx vertx,
            IngressContext context,
            TargetConcurrencyLimits limits,
            CallerBounds bounds,
            CallerMemory memory,
            BooleanSupplier loaded) {
        this.bounds = bounds;
        this.gate = new StartupGate(context.timers(), loaded);
        this.guard = new ListenerGuard(
                context.timers(),
                memory,
                bounds,
                () -> bounds.headBytesWith(context.configuration().current().map(RoutingConfiguration::limits)),
                bounds.connections(),
                context.metrics());
        this.context = context;
        this.limits = limits;
        this.vertx = vertx;
    }

    /** Starts to accept connections, and to close those whose callers are silent for too long. */
    Future<HttpServer> listen(String host, int port) {
        var unused =
                context.timers().repeat(IDLE_CHECK_INTERVAL, "idle connections", this::closeConnectionsOfSilentCallers);
        gate.start();
        return vertx.createHttpServer(guard.options().setHandle100ContinueAutomatically(true))
                .connectionHandler(guard::connected)
                .invalidRequestHandler(this::refuseInvalid)
                .requestHandler(this::handle)
                .listen(port, host)
                .onSuccess(listening -> listener = Optional.of(listening));
    }

    /** Returns the number of requests whose response has not ended. */
    int requestsInFlight() {
        return requestsInFlight.size();
    }

    /** Rejects all requests that arrive from now on; those in flight continue. */
    void rejectNewRequests() {
        rejectingNewRequests = true;
    }

    /** Tells whether all requests that arrive are rejected. */
    boolean isRejectingNewRequests() {
        return rejectingNewRequests;
    }

    /** Returns the number of open connections. */
    int connections() {
        return guard.size();
    }

    /** Tells whether no connection is open. */
    boolean hasNoConnections() {
        return guard.size() == 0;
    }

    /**
     * Answers all requests in progress, then closes the port and all connections. Callers must not send requests on
     * connections that nobody reads: the threads of a JVM that exits stand still for up to 300 ms before it ends.
     */
    Completable close() {
        return Completable.create(emitter -> {
            rejectingNewRequests = true;
            List.copyOf(requestsInFlight).forEach(CallerExchange::stop);
            listener.map(HttpServer::close)
                    .orElseGet(Future::succeededFuture)
                    .onFailure(cause -> LOG.warnf("event=port_not_closed cause=\"%s\"", cause.getMessage()))
                    .onComplete(ignored -> emitter.onComplete());
        });
    }

    /** Closes idle connections, so that their callers connect to another instance. */
    void closeIdleConnections() {
        guard.closeWhere(connection -> connection.isIdleFor(MINIMUM_IDLE_TIME));
    }

    /**
     * Closes connections whose callers have sent and read nothing for the time that the configuration in force allows. A
     * request that has been read is never cut off here: it ends at the timeout of its route, however long that is.
     */
    private void closeConnectionsOfSilentCallers() {
        if (context.eventLoopMonitor().isBehind()) {
            // What callers have sent meanwhile may not have been read yet.
            return;
        }
        CallerLimits limits = context.configuration()
                .current()
                .map(RoutingConfiguration::limits)
                .filter(stated -> stated.idle().compareTo(Duration.ZERO) > 0)
                .orElse(DEFAULT_LIMITS);
        // A head is seen only once it is complete, so the time that it may take is part of the silence before it.
        Duration allowed = limits.idle().plus(limits.head());
        guard.closeWhere(connection -> connection.isCallerSilentFor(allowed));
        guard.closeUnfinished(limits.head().isZero() ? bounds.headTime() : limits.head());
    }

    private CallerConnection connectionOf(HttpServerRequest request) {
        // Not found if the connection has just been closed.
        return guard.find(request.connection())
                .orElseGet(() -> new CallerConnection(context.timers(), new CallerMemory(0), "", limit -> {}));
    }

    private void handle(HttpServerRequest request) {
        if (request.decoderResult().isFailure()) {
            // The HTTP server hands an invalid request that waited for an earlier response to this handler.
            refuseInvalid(request);
            return;
        }
        CallerConnection connection = connectionOf(request);
        connection.startRequest();
        CallerExchange caller = new CallerExchange(context, request, connection, requestsInFlight::remove);
        requestsInFlight.add(caller);
        caller.onStop(() -> reject(caller, request, shuttingDown()));
        if (gate.hold(() -> dispatchHeld(caller, request))) {
            request.pause();
            context.metrics().count("requests_held_at_start");
        } else {
            dispatchOrReject(caller, request);
        }
    }

    /** Dispatches a request that was paused; its caller may have left meanwhile. */
    private void dispatchHeld(CallerExchange caller, HttpServerRequest request) {
        if (requestsInFlight.contains(caller)) {
            dispatchOrReject(caller, request);
            if (!caller.isBodyPaused()) {
                request.resume();
            }
        }
    }

    private void dispatchOrReject(CallerExchange caller, HttpServerRequest request) {
        try {
            dispatch(caller, request);
        } catch (FireflywalkException exception) {
            // Reading the rest of the body keeps the connection usable for the next request.
            caller.discardBody(() -> reject(caller, request, exception));
        }
    }

    /** Answers a request that the decoder has refused, and closes its connection. */
    private void refuseInvalid(HttpServerRequest request) {
        CallerConnection connection = connectionOf(request);
        connection.startRequest();
        CallerExchange caller = new CallerExchange(context, request, connection, requestsInFlight::remove);
        requestsInFlight.add(caller);
        FireflywalkException refusal =
                RequestFraming.refusal(request.decoderResult().cause());
        long now = context.timers().monotonicNanoseconds();
        context.metrics().count("requests_invalid");
        // Names no host and path, because the request may have any bytes there.
        context.metrics()
                .requestEnded(
                        now,
                        now - caller.arrivedAt(),
                        refusal.kind().code(),
                        false,
                        () -> String.format(
                                "event=request_refused outcome=%s status=%d address=%s cause=\"%s\" configuration=%d",
                                refusal.kind().code(),
                                refusal.kind().httpStatus(),
                                request.remoteAddress(),
                                refusal.detail(),
                                context.configuration().version()));
        caller.sendErrorAndClose(refusal);
    }

    private void reject(CallerExchange caller, HttpServerRequest request, FireflywalkException cause) {
        reject(caller, request, cause, Optional.empty());
    }

    private void reject(
            CallerExchange caller,
            HttpServerRequest request,
            FireflywalkException cause,
            Optional<Duration> retryAfter) {
        long now = context.timers().monotonicNanoseconds();
        context.metrics()
                .requestEnded(
                        now,
                        now - caller.arrivedAt(),
                        cause.kind().code(),
                        false,
                        () -> String.format(
                                "event=request_refused outcome=%s status=%d host=%s path=%s cause=\"%s\" configuration=%d",
                                cause.kind().code(),
                                cause.kind().httpStatus(),
                                request.getHeader("host"),
                                request.path(),
                                cause.detail(),
                                context.configuration().version()));
        caller.sendError(cause, retryAfter);
    }

    private void dispatch(CallerExchange caller, HttpServerRequest request) throws FireflywalkException {
        if (rejectingNewRequests) {
            throw shuttingDown();
        }
        RoutingConfiguration configuration = context.configuration()
                .current()
                .orElseThrow(() -> new FireflywalkException(
                        ErrorKind.CONFIGURATION_STALE, "no configuration has been read yet", LOCATION));
        HostRoute route = configuration
                .route(host(request), Optional.ofNullable(request.path()).orElse(""))
                .orElseThrow(() -> new FireflywalkException(ErrorKind.UNKNOWN_ROUTE, "no route", LOCATION));
        Optional<String> account = authenticate(configuration, route, request);
        RequestDescription description = context.callerProtocol().describe(request.headers());
        Duration timeout = description
                .deadline()
                .filter(stated -> stated.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        RequestCharge charge = new RequestCharge(
                context,
                account,
                description,
                () -> {
                    // A stop of the instance may have answered the request while it waited for a grant.
                    if (requestsInFlight.contains(caller)) {
                        new RequestForwarder(context, limits, caller, route, description, account).start();
                    }
                },
                (cause, retryAfter) -> refuse(caller, request, cause, retryAfter));
        charge.begin();
        if (!charge.isRefused()) {
            caller.readBody(
                    configuration.limits().bodyBytes(),
                    account,
                    timeout,
                    charge::onBodyRead,
                    cause -> reject(caller, request, cause));
        }
    }

    /** Refuses a request whose body may not have been read. */
    private void refuse(
            CallerExchange caller, HttpServerRequest request, FireflywalkException cause, Duration retryAfter) {
        if (!requestsInFlight.contains(caller)) {
            return;
        }
        caller.releaseBody();
        if (request.isEnded()) {
            reject(caller, request, cause, Optional.of(retryAfter));
        } else {
            caller.discardBody(() -> reject(caller, request, cause, Optional.of(retryAfter)));
            request.resume();
        }
    }

    private static FireflywalkException shuttingDown() {
        return new FireflywalkException(ErrorKind.DRAINING, "the instance is shutting down", LOCATION);
    }

    private Optional<String> authenticate(
            RoutingConfiguration configuration, HostRoute route, HttpServerRequest request)
            throws FireflywalkException {
        Optional<String> key = context.callerProtocol().apiKey(request.headers());
        Optional<String> account = key.flatMap(configuration::accountForKey);
        if (account.isEmpty() && configuration.requiresApiKey(route)) {
            ErrorKind kind = key.isPresent() ? ErrorKind.UNKNOWN_KEY : ErrorKind.MISSING_KEY;
            throw new FireflywalkException(kind, "the route needs a valid key", LOCATION);
        }
        return account;
    }

    private static String host(HttpServerRequest request) {
        return withoutPort(Optional.ofNullable(request.getHeader("host")).orElse(""));
    }

    /** Returns the value of a Host header without the port. */
    static String withoutPort(String header) {
        int colon = header.indexOf(':');
        return colon < 0 ? header : header.substring(0, colon);
    }
}
