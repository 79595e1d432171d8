package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.codec.Codec;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** HTTP server for peers. Handlers must be added before it listens. Confined to one event loop. */
public final class PeerServer implements PeerHandlerRegistry {
    private static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

    private final HttpServer server;
    private final Map<String, RegisteredHandler<?>> handlers = new HashMap<>();

    public PeerServer(Vertx vertx) {
        this.server = vertx.createHttpServer().requestHandler(this::handle);
    }

    @Override
    public <T> void addHandler(String path, Class<T> messageType, Function<T, Single<?>> handler) {
        handlers.put(path, new RegisteredHandler<>(messageType, handler));
    }

    /** Starts listening and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    /** Closes the listening socket and all connections. */
    public Future<Void> close() {
        return server.close();
    }

    private void handle(HttpServerRequest request) {
        RegisteredHandler<?> registered = handlers.get(request.path());
        if (registered == null || !request.method().equals(HttpMethod.POST)) {
            request.response()
                    .setStatusCode(ErrorKind.UNKNOWN_ROUTE.httpStatus())
                    .end();
            return;
        }
        request.body().onSuccess(body -> {
            if (body.length() > MAXIMUM_BODY_BYTES) {
                request.response()
                        .setStatusCode(ErrorKind.BODY_TOO_LARGE.httpStatus())
                        .end();
                return;
            }
            respond(request, registered, body.toString());
        });
    }

    private static <T> void respond(HttpServerRequest request, RegisteredHandler<T> registered, String body) {
        Disposable unused = Single.defer(() ->
                        registered.handler().apply(Codec.json().read(body, registered.messageType(), request.path())))
                .subscribe(
                        value -> request.response()
                                .putHeader("content-type", "application/json")
                                .end(Codec.json().write(value)),
                        cause -> request.response()
                                .setStatusCode(kindOf(cause).httpStatus())
                                .end(kindOf(cause).code()));
    }

    private static ErrorKind kindOf(Throwable cause) {
        return cause instanceof FireflywalkException exception ? exception.kind() : ErrorKind.INTERNAL;
    }

    private record RegisteredHandler<T>(Class<T> messageType, Function<T, Single<?>> handler) {}
}
