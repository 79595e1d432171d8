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

/** Object store over HTTP in front of objects in memory. Runs on one event loop. */
public final class ObjectStoreServer {
    private static final String PREFIX = "/v1/objects/";

    private final HttpServer server;
    private final ObjectStore objects;

    public ObjectStoreServer(Vertx vertx, ObjectStore objects) {
        this.objects = objects;
        this.server = vertx.createHttpServer().requestHandler(this::handle);
    }

    /** Starts to listen and returns the bound port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    private void handle(HttpServerRequest request) {
        if (!request.path().startsWith(PREFIX)) {
            request.response().setStatusCode(404).end();
            return;
        }
        String name = URLDecoder.decode(request.path().substring(PREFIX.length()), StandardCharsets.UTF_8);
        switch (request.method().name()) {
            case "PUT" ->
                request.body().onSuccess(body -> {
                    Disposable unused = objects.put(name, body)
                            .subscribe(() -> request.response().end());
                });
            case "DELETE" -> {
                Disposable unused =
                        objects.remove(name).subscribe(() -> request.response().end());
            }
            default -> {
                Disposable unused = objects.get(name)
                        .subscribe(found -> request.response()
                                .setStatusCode(found.isPresent() ? 200 : 404)
                                .end(found.orElse(Buffer.buffer())));
            }
        }
    }
}
