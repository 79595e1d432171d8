package io.fireflywalk.standin;

import io.fireflywalk.services.object.ObjectStore;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/** Serves an object store over HTTP. Runs on one event loop. */
public final class ObjectStoreServer {
    private static final String OBJECTS_PREFIX = "/v1/objects/";

    private final HttpServer server;
    private final ObjectStore store;

    public ObjectStoreServer(Vertx vertx, ObjectStore store) {
        this.store = store;
        this.server = vertx.createHttpServer().requestHandler(this::handle);
    }

    /** Starts to listen and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    private void handle(HttpServerRequest request) {
        if (!request.path().startsWith(OBJECTS_PREFIX)) {
            request.response().setStatusCode(404).end();
            return;
        }
        String name = URLDecoder.decode(request.path().substring(OBJECTS_PREFIX.length()), StandardCharsets.UTF_8);
        switch (request.method().name()) {
            case "PUT" ->
                request.body().onSuccess(body -> {
                    Disposable unused = store.put(name, body)
                            .subscribe(() -> request.response().end());
                });
            case "DELETE" -> {
                Disposable unused =
                        store.remove(name).subscribe(() -> request.response().end());
            }
            default -> {
                Disposable unused = store.get(name)
                        .subscribe(object -> request.response()
                                .setStatusCode(object.isPresent() ? 200 : 404)
                                .end(object.orElse(Buffer.buffer())));
            }
        }
    }
}
