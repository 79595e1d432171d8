package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.daemon.settings.DaemonSettings.TargetSettings;
import io.fireflywalk.services.http.HttpClients;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;

/**
 * Pooled connections to targets. Evicts idle ones and sends no non-idempotent request over a connection that was idle
 * for long, because such a connection may be dead and a failed write would leave the outcome unknown. Confined to one
 * event loop.
 */
public final class TargetConnections {
    private static final int CONNECTIONS_PER_TARGET = 1024;
    private static final int MAXIMUM_WAITING_REQUESTS = 4096;
    private static final int POOL_CLEANER_PERIOD_MILLISECONDS = 1000;
    private static final int MILLISECONDS_PER_SECOND = 1000;
    private static final long CANCEL_TIMEOUT_MILLISECONDS = 1000;

    /** Bounds the targets that are known to name attempts; the oldest ones are forgotten and learned again. */
    private static final int MAXIMUM_NAMING_TARGETS = 20_000;

    private final HttpClient client;
    private final HttpClient singleUseClient;
    /** Names of the plain targets whose responses name the attempt. */
    private final Set<String> namingTargets = new LinkedHashSet<>();

    private final TimerService timers;
    private final long reuseIdleLimitNanoseconds;
    /** Time of the last response per pooled connection; weak keys let entries of closed connections be collected. */
    private final Map<HttpConnection, Long> idleSince = new WeakHashMap<>();

    public TargetConnections(Vertx vertx, TargetSettings settings, TimerService timers) {
        this.timers = timers;
        this.reuseIdleLimitNanoseconds =
                Duration.ofMillis(settings.reuseIdleMilliseconds()).toNanos();
        int idleSeconds = (int) Math.max(1, settings.idlePooledMilliseconds() / MILLISECONDS_PER_SECOND);
        this.client = createClient(vertx, settings, idleSeconds, true);
        this.singleUseClient = createClient(vertx, settings, idleSeconds, false);
    }

    private static HttpClient createClient(Vertx vertx, TargetSettings settings, int idleSeconds, boolean reuse) {
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout((int) settings.connectMilliseconds())
                .setKeepAlive(reuse)
                .setKeepAliveTimeout(idleSeconds);
        PoolOptions pool = new PoolOptions()
                .setHttp1MaxSize(CONNECTIONS_PER_TARGET)
                .setMaxWaitQueueSize(MAXIMUM_WAITING_REQUESTS)
                .setCleanerPeriod(POOL_CLEANER_PERIOD_MILLISECONDS);
        return HttpClients.create(vertx, options, pool);
    }

    /**
     * Tells whether connections to the target carry more than one request. Those to a plain target do only once its
     * responses have named their attempts: nothing else tells the response to a request from a late second response to
     * the request before it.
     */
    boolean reuses(Target target, boolean engine) {
        return engine || namingTargets.contains(target.name());
    }

    /** Records whether a response of a plain target named its attempt. */
    void recordNaming(Target target, boolean named) {
        if (!named) {
            namingTargets.remove(target.name());
        } else if (namingTargets.add(target.name()) && namingTargets.size() > MAXIMUM_NAMING_TARGETS) {
            namingTargets.remove(namingTargets.iterator().next());
        }
    }

    /** Tells whether a connection has carried a request before. */
    boolean carriedRequests(HttpConnection connection) {
        return idleSince.containsKey(connection);
    }

    /**
     * Opens a connection, or reuses one if {@code reuse} is true. Nothing is sent before the returned request is written
     * to.
     */
    Future<HttpClientRequest> open(Target target, HttpMethod method, String uri, boolean idempotent, boolean reuse) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(target.host())
                .setPort(target.port())
                .setURI(uri);
        return (reuse ? client : singleUseClient).request(options).compose(request -> {
            if (idempotent || !idleBeyondReuseLimit(request.connection())) {
                return Future.succeededFuture(request);
            }
            HttpConnection connection = request.connection();
            idleSince.remove(connection);
            return request.reset()
                    .otherwiseEmpty()
                    .compose(ignored -> connection.close())
                    .transform(ignored -> open(target, method, uri, false, reuse));
        });
    }

    /** Records that the response is complete and the connection is idle. */
    void becameIdle(HttpConnection connection) {
        idleSince.put(connection, timers.monotonicNanoseconds());
    }

    /** Asks an engine to cancel an attempt. Best effort, because the engine also sees the closed connection. */
    void cancel(Target target, String attemptId) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.DELETE)
                .setHost(target.host())
                .setPort(target.port())
                .setURI("/engine/v1/requests/" + attemptId)
                .setTimeout(CANCEL_TIMEOUT_MILLISECONDS)
                .setIdleTimeout(CANCEL_TIMEOUT_MILLISECONDS);
        client.request(options)
                .compose(request -> request.send().compose(HttpClientResponse::end))
                .onFailure(ignored -> {
                    // The engine also sees the closed connection, and a failed engine has nothing to cancel.
                });
    }

    private boolean idleBeyondReuseLimit(HttpConnection connection) {
        Long idleSinceNanoseconds = idleSince.get(connection);
        return idleSinceNanoseconds != null
                && timers.monotonicNanoseconds() - idleSinceNanoseconds >= reuseIdleLimitNanoseconds;
    }
}
