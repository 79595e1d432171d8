package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.CallerBounds;
import io.fireflywalk.core.ingress.CallerLimit;
import io.fireflywalk.core.ingress.CallerMemory;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.impl.HttpServerConnection;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * Connections of a listener within the limits that protect the instance from those who connect. At the limit of
 * connections the newest is closed. Confined to one event loop.
 */
final class ListenerGuard {
    private static final int MAXIMUM_REQUEST_LINE_BYTES = 16_384;
    /** Part of the connections above which those without any request are closed early. */
    private static final double NEARLY_FULL = 0.75;
    /** Allowance for bytes that have been sent and not read yet. */
    private static final Duration READ_DELAY = Duration.ofSeconds(1);

    private final TimerService timers;
    private final CallerMemory memory;
    private final CallerBounds bounds;
    private final IntSupplier headBytes;
    private final int maximumConnections;
    private final IngressMetrics metrics;
    private final HttpServerOptions options;
    private final Map<HttpConnection, Guarded> connections = new HashMap<>();

    /** A connection with its decoder. */
    private record Guarded(CallerConnection connection, StrictRequestDecoder decoder) {}

    /**
     * Creates the guard of one listener.
     *
     * @param headBytes bytes of the header lines that are allowed in a head at present
     */
    ListenerGuard(
            TimerService timers,
            CallerMemory memory,
            CallerBounds bounds,
            IntSupplier headBytes,
            int maximumConnections,
            IngressMetrics metrics) {
        this.timers = timers;
        this.memory = memory;
        this.bounds = bounds;
        this.headBytes = headBytes;
        this.maximumConnections = maximumConnections;
        this.metrics = metrics;
        this.options = new HttpServerOptions()
                .setMaxHeaderSize(bounds.headBytes())
                .setMaxInitialLineLength(Math.min(bounds.headBytes(), MAXIMUM_REQUEST_LINE_BYTES))
                .setHttp2ClearTextEnabled(false);
    }

    /** Returns the options that the listener must be created with. */
    HttpServerOptions options() {
        return options;
    }

    /** Listens for requests that are not callers': those of a load balancer, of operators and of other instances. */
    Future<HttpServer> listenInternally(Vertx vertx, Handler<HttpServerRequest> handler, String host, int port) {
        var unused = timers.repeat(READ_DELAY, "internal connections", () -> closeUnfinished(bounds.headTime()));
        return vertx.createHttpServer(options)
                .connectionHandler(this::connected)
                .requestHandler(request -> {
                    request.response()
                            .endHandler(ended -> find(request.connection()).ifPresent(CallerConnection::endWriting));
                    handler.handle(request);
                })
                .listen(port, host);
    }

    /** Adds a new connection, or closes it if there are too many. */
    void connected(HttpConnection connection) {
        String address = connection.remoteAddress().hostAddress();
        if (connections.size() >= maximumConnections) {
            metrics.limitMet(timers.monotonicNanoseconds(), CallerLimit.CONNECTIONS, address);
            // Without the steps of an orderly shutdown, which a connection without a request does not need.
            var unused =
                    ((HttpServerConnection) connection).channelHandlerContext().close();
            return;
        }
        CallerConnection added = new CallerConnection(timers, memory, address, limit -> {
            metrics.limitMet(timers.monotonicNanoseconds(), limit, address);
            connection.close();
        });
        StrictRequestDecoder decoder = StrictRequestDecoder.install(
                connection,
                options,
                bounds,
                headBytes,
                added,
                limit -> metrics.limitMet(timers.monotonicNanoseconds(), limit, address));
        connections.put(connection, new Guarded(added, decoder));
        connection.closeHandler(ignored -> {
            connections.remove(connection);
            added.close();
        });
    }

    Optional<CallerConnection> find(HttpConnection connection) {
        return Optional.ofNullable(connections.get(connection)).map(Guarded::connection);
    }

    int size() {
        return connections.size();
    }

    void closeWhere(Predicate<CallerConnection> condition) {
        matching(condition).forEach(HttpConnection::close);
    }

    private List<HttpConnection> matching(Predicate<CallerConnection> condition) {
        return connections.entrySet().stream()
                .filter(entry -> condition.test(entry.getValue().connection()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Refuses requests whose heads take too long, and finds connections whose callers have left. With many connections, also
     * closes those that have been open for as long without any request.
     */
    void closeUnfinished(Duration headTime) {
        Duration allowed = headTime.plus(READ_DELAY);
        for (HttpConnection late : matching(connection -> connection.isHeadLateBy(allowed))) {
            connections.get(late).decoder().refuse(late, CallerLimit.HEAD_TIME);
        }
        // A copy, because the memory for what is read may be taken from other connections, which are closed.
        List.copyOf(connections.entrySet())
                .forEach(entry -> entry.getValue().decoder().readWhileStopped(entry.getKey()));
        if (connections.size() > NEARLY_FULL * maximumConnections) {
            closeWhere(connection -> connection.isUnused() && connection.isInactiveFor(allowed));
        }
    }
}
