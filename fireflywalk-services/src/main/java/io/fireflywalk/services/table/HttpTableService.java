package io.fireflywalk.services.table;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.codec.Codec;
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
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** HTTP client of the table service, with JSON bodies. The deadline applies to each call. Thread-safe. */
public final class HttpTableService implements TableService {
    private static final int MAXIMUM_CONNECTIONS = 8;
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CONFLICT = 409;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final HttpClient client;
    private final String host;
    private final int port;
    private final Duration deadline;

    public HttpTableService(Vertx vertx, String host, int port, Duration deadline) {
        this.client = HttpClients.create(
                vertx,
                new HttpClientOptions().setConnectTimeout((int) deadline.toMillis()),
                new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS));
        this.host = host;
        this.port = port;
        this.deadline = deadline;
    }

    @Override
    public Single<TransactionResult> execute(Transaction transaction) {
        Buffer body = Buffer.buffer(Codec.json().write(transaction));
        return call(HttpMethod.POST, "/v1/transactions", body, ErrorKind.STORE_OUTCOME_UNKNOWN)
                .map(response -> {
                    if (response.status() != STATUS_OK && response.status() != STATUS_CONFLICT) {
                        throw unexpectedStatus(response, ErrorKind.STORE_OUTCOME_UNKNOWN);
                    }
                    return Codec.json().read(response.body(), TransactionResult.class, "table service");
                });
    }

    @Override
    public Single<Optional<Row>> read(String table, String key) {
        String path = "/v1/rows/" + encode(table) + "/" + encode(key);
        return call(HttpMethod.GET, path, Buffer.buffer(), ErrorKind.STORE_UNAVAILABLE)
                .map(response -> {
                    if (response.status() == STATUS_NOT_FOUND) {
                        return Optional.empty();
                    }
                    requireStatusOk(response);
                    return Optional.of(Codec.json().read(response.body(), Row.class, "table service"));
                });
    }

    @Override
    public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
        String path = "/v1/rows/" + encode(table) + "?prefix=" + encode(prefix) + "&after=" + encode(after) + "&limit="
                + limit;
        return call(HttpMethod.GET, path, Buffer.buffer(), ErrorKind.STORE_UNAVAILABLE)
                .map(response -> {
                    requireStatusOk(response);
                    return List.of(Codec.json().read(response.body(), Row[].class, "table service"));
                });
    }

    private Single<Response> call(HttpMethod method, String path, Buffer body, ErrorKind errorKind) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(host)
                .setPort(port)
                .setURI(path)
                .setTimeout(deadline.toMillis())
                .setIdleTimeout(deadline.toMillis());
        return RxFutures.single(() -> send(options, body))
                .onErrorResumeNext(cause -> Single.error(
                        new FireflywalkException(errorKind, "no answer: " + cause, "table service", cause)));
    }

    private Future<Response> send(RequestOptions options, Buffer body) {
        // The body is asked for in the turn of the event loop in which the response arrives; a thread other than the
        // event
        // loop's may add a handler to the outer future later, when a short response has ended already.
        return client.request(options)
                .compose(request -> request.send(body)
                        .compose(response -> response.body()
                                .map(content -> new Response(
                                        response.statusCode(), content.toString(StandardCharsets.UTF_8)))));
    }

    private static void requireStatusOk(Response response) throws FireflywalkException {
        if (response.status() != STATUS_OK) {
            throw unexpectedStatus(response, ErrorKind.STORE_UNAVAILABLE);
        }
    }

    private static FireflywalkException unexpectedStatus(Response response, ErrorKind kindOnServerError) {
        ErrorKind kind = response.status() >= FIRST_SERVER_ERROR_STATUS ? kindOnServerError : ErrorKind.INTERNAL;
        return new FireflywalkException(kind, "unexpected status " + response.status(), "table service");
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private record Response(int status, String body) {}
}
