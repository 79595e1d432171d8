package io.fireflywalk.services.order;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
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

/** Calls over HTTP with JSON, each with one deadline from the request for a connection to the last byte. Thread-safe. */
final class JsonHttpClient {
    private static final int MAXIMUM_CONNECTIONS = 2;
    private static final int MAXIMUM_WAITING_CALLS = 64;

    private final HttpClient client;
    private final Duration deadline;

    JsonHttpClient(Vertx vertx, Duration deadline) {
        // A connection is used for one request: a reused one may have gone silent while new ones work.
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(false).setConnectTimeout((int) deadline.toMillis()),
                new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS).setMaxWaitQueueSize(MAXIMUM_WAITING_CALLS));
        this.deadline = deadline;
    }

    Single<Answer> call(HttpMethod method, String host, int port, String path, String body) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(host)
                .setPort(port)
                .setURI(path)
                .setTimeout(deadline.toMillis())
                .setIdleTimeout(deadline.toMillis());
        return RxFutures.single(() -> send(options, body))
                .onErrorResumeNext(cause -> Single.error(new FireflywalkException(
                        ErrorKind.TARGET_FAILED, "no answer: " + cause, host + ":" + port + path, cause)));
    }

    private Future<Answer> send(RequestOptions options, String body) {
        return client.request(options)
                .compose(request ->
                        request.putHeader("content-type", "application/json").send(Buffer.buffer(body)))
                .compose(response -> response.body()
                        .map(content -> new Answer(response.statusCode(), content.toString(StandardCharsets.UTF_8))));
    }

    /** Status and body of an answer. */
    record Answer(int status, String body) {

        /** Returns the answer or fails if its status is not among the expected ones. */
        Answer require(String location, int... expected) throws FireflywalkException {
            for (int wanted : expected) {
                if (status == wanted) {
                    return this;
                }
            }
            throw new FireflywalkException(ErrorKind.TARGET_FAILED, "unexpected status " + status, location);
        }
    }
}
