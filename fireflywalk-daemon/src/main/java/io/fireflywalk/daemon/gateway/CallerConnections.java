package io.fireflywalk.daemon.gateway;

import io.fireflywalk.daemon.settings.DaemonSettings.CallerLimits;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.http.HttpConnection;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Limits the connections of callers: a connection beyond the limit gets one error response, and connections without a
 * request are closed after an idle time-out. Confined to one event loop.
 */
final class CallerConnections {
    private static final Duration SWEEP_PERIOD = Duration.ofSeconds(1);
    private static final Duration DRAIN_SWEEP_PERIOD = Duration.ofMillis(100);
    /** Idle time after which a connection is closed while draining; a caller in a request loop sends again sooner. */
    private static final Duration DRAIN_IDLE_TIMEOUT = Duration.ofMillis(300);
    /** Connections beyond the limit that may wait for their error response; more are closed at once. */
    private static final int MAXIMUM_CONNECTIONS_BEYOND_LIMIT = 1000;

    private final CallerLimits limits;
    private final TimerService timers;
    private final Map<HttpConnection, ConnectionState> states = new HashMap<>();
    private boolean draining;

    CallerConnections(CallerLimits limits, TimerService timers) {
        this.limits = limits;
        this.timers = timers;
    }

    /** Starts closing idle connections periodically. */
    void start() {
        // Never disposed: runs as long as the process serves callers.
        var unused = timers.every(SWEEP_PERIOD).subscribe(tick -> closeIdle());
    }

    void opened(HttpConnection connection) {
        connection.exceptionHandler(ignored -> {
            // The default handler logs the cause, which may quote a request and with it an API key.
        });
        if (states.size() >= limits.callerConnections() + MAXIMUM_CONNECTIONS_BEYOND_LIMIT) {
            connection.close();
            return;
        }
        ConnectionState state = new ConnectionState();
        state.beyondLimit = states.size() >= limits.callerConnections();
        state.lastActivityNanoseconds = timers.monotonicNanoseconds();
        states.put(connection, state);
        connection.closeHandler(ignored -> states.remove(connection));
    }

    /** Records the start of a request; returns false if its connection is beyond the limit. */
    boolean requestStarted(HttpConnection connection) {
        ConnectionState state = states.get(connection);
        if (state == null) {
            return true;
        }
        state.openRequests++;
        state.hasCarriedRequest = true;
        return !state.beyondLimit;
    }

    void requestEnded(HttpConnection connection) {
        ConnectionState state = states.get(connection);
        if (state != null) {
            state.openRequests--;
            state.lastActivityNanoseconds = timers.monotonicNanoseconds();
        }
    }

    /**
     * Starts closing connections without a request. A connection that has just been used stays open for
     * {@link #DRAIN_IDLE_TIMEOUT}, because the next request may already be on its way and would get no response.
     */
    void startDraining() {
        draining = true;
        // Never disposed: runs until the process ends.
        var unused = timers.every(DRAIN_SWEEP_PERIOD).subscribe(tick -> closeIdle());
    }

    /** Returns whether no connection is open. */
    boolean isEmpty() {
        return states.isEmpty();
    }

    private void closeIdle() {
        long now = timers.monotonicNanoseconds();
        for (HttpConnection connection : List.copyOf(states.keySet())) {
            ConnectionState state = states.get(connection);
            long idleTimeoutMilliseconds =
                    state.hasCarriedRequest ? limits.idleCallerMilliseconds() : limits.slowSenderMilliseconds();
            Duration idleTimeout = draining ? DRAIN_IDLE_TIMEOUT : Duration.ofMillis(idleTimeoutMilliseconds);
            if (state.openRequests == 0 && now - state.lastActivityNanoseconds >= idleTimeout.toNanos()) {
                connection.close();
            }
        }
    }

    private static final class ConnectionState {
        private int openRequests;
        private long lastActivityNanoseconds;
        private boolean hasCarriedRequest;
        private boolean beyondLimit;
    }
}
