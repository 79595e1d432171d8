package io.fireflywalk.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Plain HTTP service that echoes each request with the number of its execution. Runs on one event loop. */
public final class PlainServiceServer {
    private final Vertx vertx;
    private final HttpServer server;
    private final long responseDelayMilliseconds;
    private int executions;

    public PlainServiceServer(Vertx vertx) {
        this(vertx, 0);
    }

    public PlainServiceServer(Vertx vertx, long responseDelayMilliseconds) {
        this.vertx = vertx;
        this.responseDelayMilliseconds = responseDelayMilliseconds;
        this.server = vertx.createHttpServer().requestHandler(this::handle);
    }

    /** Starts to listen and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    private void handle(HttpServerRequest request) {
        request.body().onSuccess(body -> respond(request, body));
    }

    private void respond(HttpServerRequest request, Buffer body) {
        executions++;
        JsonArray headerNames = new JsonArray();
        request.headers().names().stream().sorted().forEach(headerNames::add);
        JsonObject echo = new JsonObject()
                .put("method", request.method().name())
                .put("uri", request.uri())
                .put("headerNames", headerNames)
                .put("body", body.toString())
                .put("execution", executions);
        request.response().putHeader("content-type", "application/json");
        if (responseDelayMilliseconds == 0) {
            request.response().end(echo.encode());
        } else {
            vertx.setTimer(
                    responseDelayMilliseconds, ignored -> request.response().end(echo.encode()));
        }
    }
}
