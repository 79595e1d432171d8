package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.daemon.settings.DaemonSettings.TargetSettings;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Map;
import java.util.WeakHashMap;
import org.jboss.logging.Logger;

/**
 * Pooled connections to targets. Retires idle ones and keeps non-idempotent requests off connections that were idle for
 * long, because such a connection may be dead and a failed write would leave the outcome unknown. Confined to one event
 * loop.
 */
public final class TargetConnections {
    private static final Logger LOG = Logger.getLogger(TargetConnections.class);
    private static final int CONNECTIONS_PER_TARGET = 1024;
    private static final int MAXIMUM_WAITING_REQUESTS = 4096;
    private static final int MAXIMUM_CLEANER_PERIOD_MILLISECONDS = 1000;
    private static final int MILLISECONDS_PER_SECOND = 1000;
    private static final long CANCEL_DEADLINE_MILLISECONDS = 1000;

    private final HttpClient client;
    private final TimerService timers;
    private final long reuseIdleNanoseconds;
    /** Time of the last answer per pooled connection; weak, so that closed connections leave by themselves. */
    private final Map<HttpConnection, Long> idleSince = new WeakHashMap<>();

    public TargetConnections(Vertx vertx, TargetSettings settings, TimerService timers) {
        this.timers = timers;
        this.reuseIdleNanoseconds =
                Duration.ofMillis(settings.reuseIdleMilliseconds()).toNanos();
        int idleSeconds = (int) Math.max(1, settings.idlePooledMilliseconds() / MILLISECONDS_PER_SECOND);
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout((int) settings.connectMilliseconds())
                .setKeepAliveTimeout(idleSeconds);
        PoolOptions pool = new PoolOptions()
                .setHttp1MaxSize(CONNECTIONS_PER_TARGET)
                .setMaxWaitQueueSize(MAXIMUM_WAITING_REQUESTS)
                .setCleanerPeriod(MAXIMUM_CLEANER_PERIOD_MILLISECONDS);
        this.client = vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(connection -> connection.exceptionHandler(
                        // The attempt on the connection reports the failure; without a handler it is logged as an
                        // error.
                        cause -> LOG.debugf("event=target_connection_failed cause=\"%s\"", cause)))
                .build();
    }

    /** Connects. Nothing is sent before the returned request is written to. */
    Future<HttpClientRequest> open(Target target, HttpMethod method, String uri, boolean idempotent) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(target.host())
                .setPort(target.port())
                .setURI(uri);
        return client.request(options).compose(request -> {
            if (idempotent || !idleTooLong(request.connection())) {
                return Future.succeededFuture(request);
            }
            HttpConnection connection = request.connection();
            idleSince.remove(connection);
            return request.reset()
                    .otherwiseEmpty()
                    .compose(ignored -> connection.close())
                    .transform(ignored -> open(target, method, uri, false));
        });
    }

    /** Notes that a complete answer has come and the connection is idle from now on. */
    void answered(HttpConnection connection) {
        idleSince.put(connection, timers.monotonicNanoseconds());
    }

    /** Tells an engine to give up an attempt. Best effort: the closed connection says the same. */
    void cancel(Target target, String attemptId) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.DELETE)
                .setHost(target.host())
                .setPort(target.port())
                .setURI("/engine/v1/requests/" + attemptId)
                .setTimeout(CANCEL_DEADLINE_MILLISECONDS)
                .setIdleTimeout(CANCEL_DEADLINE_MILLISECONDS);
        client.request(options)
                .compose(HttpClientRequest::send)
                .compose(answer -> answer.end())
                .onFailure(ignored -> {
                    // The engine also sees the closed connection; a dead engine has nothing to cancel.
                });
    }

    private boolean idleTooLong(HttpConnection connection) {
        Long since = idleSince.get(connection);
        return since != null && timers.monotonicNanoseconds() - since >= reuseIdleNanoseconds;
    }
}
