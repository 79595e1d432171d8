package io.fireflywalk.services.object;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.http.HttpServiceClient;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/** HTTP client of the object store. Thread-safe. */
public final class HttpObjectStore implements ObjectStore {
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;

    private final HttpServiceClient client;

    public HttpObjectStore(Vertx vertx, String host, int port, Duration deadline) {
        this.client = new HttpServiceClient(vertx, host, port, deadline);
    }

    @Override
    public Completable put(String name, Buffer content) {
        return call(HttpMethod.PUT, name, content).ignoreElement();
    }

    @Override
    public Single<Optional<Buffer>> get(String name) {
        return call(HttpMethod.GET, name, Buffer.buffer())
                .map(response -> response.status() == STATUS_OK ? Optional.of(response.body()) : Optional.empty());
    }

    @Override
    public Completable remove(String name) {
        return call(HttpMethod.DELETE, name, Buffer.buffer()).ignoreElement();
    }

    private Single<HttpServiceClient.Response> call(HttpMethod method, String name, Buffer body) {
        String path = "/v1/objects/" + URLEncoder.encode(name, StandardCharsets.UTF_8);
        return client.call(method, path, body, ErrorKind.STORE_UNAVAILABLE).flatMap(response -> {
            boolean notFound = response.status() == STATUS_NOT_FOUND && !method.equals(HttpMethod.PUT);
            return response.status() == STATUS_OK || notFound
                    ? Single.just(response)
                    : Single.error(new FireflywalkException(
                            ErrorKind.STORE_UNAVAILABLE, "unexpected status " + response.status(), path));
        });
    }
}
