package io.fireflywalk.services.order;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.http.HttpClients;
import io.fireflywalk.services.http.RxFutures;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/**
 * HTTP client for JSON bodies. The deadline of a call covers everything from acquiring a connection to the last byte of
 * the response. Thread-safe.
 */
final class JsonHttpClient {
    private static final int MAXIMUM_CONNECTIONS = 2;
    private static final int MAXIMUM_QUEUED_CALLS = 64;

    private final HttpClient client;
    private final Duration deadline;

    JsonHttpClient(Vertx vertx, Duration deadline) {
        // Keep-alive is off: a pooled connection may have stopped responding while new connections still work.
        this.client = HttpClients.create(
                vertx,
                new HttpClientOptions().setKeepAlive(false).setConnectTimeout((int) deadline.toMillis()),
                new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS).setMaxWaitQueueSize(MAXIMUM_QUEUED_CALLS));
        this.deadline = deadline;
    }

    Single<Response> call(HttpMethod method, String host, int port, String path, String body) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(host)
                .setPort(port)
                .setURI(path)
                .setTimeout(deadline.toMillis())
                .setIdleTimeout(deadline.toMillis());
        return RxFutures.single(() -> send(options, body))
                .onErrorResumeNext(cause -> Single.error(new FireflywalkException(
                        ErrorKind.TARGET_FAILED, "no response: " + cause, host + ":" + port + path, cause)));
    }

    private Future<Response> send(RequestOptions options, String body) {
        return client.request(options)
                .compose(request -> request.putHeader("content-type", "application/json")
                        .send(Buffer.buffer(body))
                        .compose(response -> response.body()
                                .map(content -> new Response(
                                        response.statusCode(), content.toString(StandardCharsets.UTF_8)))));
    }

    /** Status and body of a response. */
    record Response(int status, String body) {

        /** Returns this response, or fails if its status is not among the expected ones. */
        Response requireStatus(String location, int... expectedStatuses) throws FireflywalkException {
            for (int expectedStatus : expectedStatuses) {
                if (status == expectedStatus) {
                    return this;
                }
            }
            throw new FireflywalkException(ErrorKind.TARGET_FAILED, "unexpected status " + status, location);
        }
    }
}
