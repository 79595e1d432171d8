package io.fireflywalk.services.http;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;

/** HTTP client of one platform service. The deadline applies to each call. Thread-safe. */
public final class HttpServiceClient {
    private static final int MAXIMUM_CONNECTIONS = 8;
    private static final int MAXIMUM_QUEUED_CALLS = 256;

    private final HttpClient client;
    private final String host;
    private final int port;
    private final Duration deadline;

    public HttpServiceClient(Vertx vertx, String host, int port, Duration deadline) {
        this.client = HttpClients.create(
                vertx,
                new HttpClientOptions().setConnectTimeout((int) deadline.toMillis()),
                new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS).setMaxWaitQueueSize(MAXIMUM_QUEUED_CALLS));
        this.host = host;
        this.port = port;
        this.deadline = deadline;
    }

    /** Sends a request and emits the response, or fails with the given error kind if none arrives. */
    public Single<Response> call(HttpMethod method, String path, Buffer body, ErrorKind errorKind) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(host)
                .setPort(port)
                .setURI(path)
                .setTimeout(deadline.toMillis())
                .setIdleTimeout(deadline.toMillis());
        return RxFutures.single(() -> send(options, body))
                .onErrorResumeNext(cause ->
                        Single.error(new FireflywalkException(errorKind, "no response: " + cause, path, cause)));
    }

    private Future<Response> send(RequestOptions options, Buffer body) {
        // The body is asked for in the turn of the event loop in which the response arrives; a thread other than the
        // event
        // loop's may add a handler to the outer future later, when a short response has ended already.
        return client.request(options)
                .compose(request -> request.send(body)
                        .compose(response ->
                                response.body().map(content -> new Response(response.statusCode(), content))));
    }

    /** Status and body of a response. */
    public record Response(int status, Buffer body) {}
}
