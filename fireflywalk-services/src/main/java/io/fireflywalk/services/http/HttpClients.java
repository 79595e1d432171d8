package io.fireflywalk.services.http;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;
import java.io.IOException;
import org.jboss.logging.Logger;

/**
 * Creates HTTP clients that never take the status of a response which a server began and did not finish for that of the
 * next response. Thread-safe.
 */
public final class HttpClients {
    private static final Logger LOG = Logger.getLogger(HttpClients.class);

    private HttpClients() {}

    /**
     * Creates a client whose connections carry one request at a time.
     *
     * @param options options for HTTP/1.1 without pipelining
     */
    public static HttpClient create(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
        if (options.getProtocolVersion() != HttpVersion.HTTP_1_1 || options.isUseAlpn() || options.isPipelining()) {
            throw new IllegalArgumentException("connections must carry one HTTP/1.1 request at a time");
        }
        return vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(HttpClients::opened)
                .build();
    }

    private static void opened(HttpConnection connection) {
        connection.exceptionHandler(cause -> onFailure(connection, cause));
        ResponseCodec.install(connection, new BegunResponseLog(connection));
    }

    /** A connection that has delivered anything but responses must not be used again. */
    private static void onFailure(HttpConnection connection, Throwable cause) {
        if (cause instanceof IOException) {
            // The call that uses the connection reports the failure.
            LOG.debugf("event=connection_lost address=%s cause=\"%s\"", connection.remoteAddress(), cause.getMessage());
        } else {
            LOG.warnf(
                    "event=connection_closed address=%s cause=\"%s\"", connection.remoteAddress(), cause.getMessage());
        }
        var unused = connection.close();
    }

    /** Logs what a server began and did not finish. */
    private record BegunResponseLog(HttpConnection connection) implements ResponseCodec.Listener {

        @Override
        public void onJoinedHead(String statusLine) {
            LOG.warnf("event=joined_head address=%s second_status_line=\"%s\"", connection.remoteAddress(), statusLine);
        }

        @Override
        public void onUnfinishedResponse(int bytes) {
            LOG.warnf("event=unfinished_response address=%s bytes=%d", connection.remoteAddress(), bytes);
        }
    }
}
