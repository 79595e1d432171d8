package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.TargetConnectionState;
import io.fireflywalk.services.http.ResponseCodec;
import io.fireflywalk.services.time.TimerService;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;

/**
 * State of the open connections to targets. Bounded by the connections that are open. Confined to one event loop.
 */
final class TargetConnectionTracker {
    private static final Logger LOG = Logger.getLogger(TargetConnectionTracker.class);
    private static final String FILTER = "extra-response-filter";
    /** Headers that show how a response was framed. */
    private static final HttpHeadersFactory HEADERS = new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
            return new TargetResponseHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new TargetResponseHeaders();
        }
    };

    private final Map<HttpConnection, TrackedConnection> connections = new HashMap<>();
    private final TimerService timers;
    private final IngressMetrics metrics;
    private final String identifierHeader;
    private long lastNumber;

    private record TrackedConnection(TargetConnectionState state, ResponseCodec codec) {}

    /**
     * Creates a tracker without connections.
     *
     * @param identifierHeader header with the identifier that a response repeats from its request
     */
    TargetConnectionTracker(TimerService timers, IngressMetrics metrics, String identifierHeader) {
        this.timers = timers;
        this.metrics = metrics;
        this.identifierHeader = identifierHeader;
    }

    /** Follows a new connection until it is closed, and takes responses out of it that belong to no request. */
    void opened(HttpConnection connection) {
        TargetConnectionState state = new TargetConnectionState(++lastNumber);
        ResponseCodec codec = ResponseCodec.install(
                connection, HEADERS, state::requestInProgress, new BegunResponseLog(connection, state));
        connections.put(connection, new TrackedConnection(state, codec));
        connection.closeHandler(ignored -> connections.remove(connection));
        connection.exceptionHandler(cause -> onFailure(connection, state, cause));
        // The HTTP client has no public hook between its codec and the request that waits for a response.
        var context = ((HttpClientConnectionInternal) connection).channelHandlerContext();
        context.pipeline()
                .addBefore(
                        context.name(),
                        FILTER,
                        new ExtraResponseFilter(
                                state,
                                timers,
                                identifierHeader,
                                (status, identifier) -> onExtraResponse(connection, state, status, identifier)));
    }

    private final class BegunResponseLog implements ResponseCodec.Listener {
        private final HttpConnection connection;
        private final TargetConnectionState state;

        BegunResponseLog(HttpConnection connection, TargetConnectionState state) {
            this.connection = connection;
            this.state = state;
        }

        @Override
        public void onJoinedHead(String statusLine) {
            metrics.count("target_joined_heads");
            metrics.logFault(
                    timers.monotonicNanoseconds(),
                    () -> String.format(
                            "event=target_joined_head address=%s connection=%d requests_on_connection=%d id=%s second_status_line=\"%s\"",
                            connection.remoteAddress(),
                            state.number(),
                            state.requests(),
                            state.current().orElse("-"),
                            statusLine));
        }

        @Override
        public void onUnfinishedResponse(int bytes) {
            metrics.count("target_unfinished_responses");
            metrics.logFault(
                    timers.monotonicNanoseconds(),
                    () -> String.format(
                            "event=target_unfinished_response address=%s connection=%d requests_on_connection=%d bytes=%d",
                            connection.remoteAddress(), state.number(), state.requests(), bytes));
        }
    }

    private void onExtraResponse(
            HttpConnection connection, TargetConnectionState state, int status, Optional<String> identifier) {
        metrics.count("target_extra_responses");
        metrics.logFault(
                timers.monotonicNanoseconds(),
                () -> String.format(
                        "event=target_extra_response address=%s connection=%d requests_on_connection=%d status=%d response_id=%s",
                        connection.remoteAddress(), state.number(), state.requests(), status, identifier.orElse("-")));
    }

    /** A connection that has delivered anything but responses must not be used again. */
    private void onFailure(HttpConnection connection, TargetConnectionState state, Throwable cause) {
        if (cause instanceof IOException) {
            LOG.debugf("event=target_connection_lost connection=%d cause=\"%s\"", state.number(), cause.getMessage());
            var unused = connection.close();
            return;
        }
        metrics.count("target_connection_failures");
        metrics.logFault(
                timers.monotonicNanoseconds(),
                () -> String.format(
                        "event=target_connection_closed address=%s connection=%d requests_on_connection=%d cause=\"%s\"",
                        connection.remoteAddress(), state.number(), state.requests(), cause.getMessage()));
        var unused = connection.close();
    }

    /** Returns the state of an open connection; nothing if it has been closed meanwhile. */
    Optional<TargetConnectionState> state(HttpConnection connection) {
        return Optional.ofNullable(connections.get(connection)).map(TrackedConnection::state);
    }

    /** Tells whether a response on the connection that bears the identifier can only be the response to a request sent now. */
    boolean accepts(HttpConnection connection, String identifier) {
        TrackedConnection tracked = connections.get(connection);
        return tracked == null
                || (tracked.codec().acceptsRequests() && tracked.state().accepts(identifier));
    }
}
