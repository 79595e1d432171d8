package io.fireflywalk.standin;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Serves a table service over HTTP with JSON. Runs on one event loop. */
public final class TableServiceServer {
    private static final String ROWS_PREFIX = "/v1/rows/";
    private static final int DEFAULT_SCAN_LIMIT = 500;

    private final HttpServer server;
    private final TableService tables;

    public TableServiceServer(Vertx vertx, TableService tables) {
        this.tables = tables;
        this.server = vertx.createHttpServer().requestHandler(this::handle);
    }

    /** Starts to listen and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    private void handle(HttpServerRequest request) {
        if (request.method().equals(HttpMethod.POST) && request.path().equals("/v1/transactions")) {
            request.body().onSuccess(body -> execute(request, body));
        } else if (request.method().equals(HttpMethod.GET) && request.path().startsWith(ROWS_PREFIX)) {
            read(request, request.path().substring(ROWS_PREFIX.length()));
        } else {
            request.response().setStatusCode(404).end();
        }
    }

    private void execute(HttpServerRequest request, Buffer body) {
        Transaction transaction;
        try {
            transaction = Codec.json().read(body.toString(), Transaction.class, "request body");
        } catch (FireflywalkException exception) {
            request.response().setStatusCode(400).end(exception.getMessage());
            return;
        }
        respondWith(
                request,
                tables.execute(transaction),
                result -> respond(
                        request, result.committed() ? 200 : 409, Codec.json().write(result)));
    }

    private void read(HttpServerRequest request, String path) {
        int slash = path.indexOf('/');
        if (slash < 0) {
            int limit = Integer.parseInt(request.getParam("limit", Integer.toString(DEFAULT_SCAN_LIMIT)));
            respondWith(
                    request,
                    tables.scan(decode(path), request.getParam("prefix", ""), request.getParam("after", ""), limit),
                    rows -> respond(request, 200, Codec.json().write(rows)));
            return;
        }
        respondWith(
                request,
                tables.read(decode(path.substring(0, slash)), decode(path.substring(slash + 1))),
                row -> respond(
                        request,
                        row.isPresent() ? 200 : 404,
                        row.map(Codec.json()::write).orElse("{}")));
    }

    /** Responds on the request's event loop when the operation ends; an operation that never ends gets no response. */
    private static <T> void respondWith(HttpServerRequest request, Single<T> operation, Consumer<T> onValue) {
        Context context = Vertx.currentContext();
        Disposable unused = operation.subscribe(
                value -> context.runOnContext(ignored -> onValue.accept(value)),
                cause -> context.runOnContext(ignored -> respond(request, 503, "{}")));
    }

    private static void respond(HttpServerRequest request, int status, String body) {
        if (request.response().closed()) {
            return;
        }
        request.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(body);
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
