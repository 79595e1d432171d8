package io.fireflywalk.services.order;

import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.core.order.TargetOrderOutcome;
import io.fireflywalk.services.codec.Codec;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** HTTP client of the platform's target API, with JSON bodies. Thread-safe. */
public final class HttpTargetProvisioner implements TargetProvisioner {
    private static final String LOCATION = "target platform";
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;

    private final JsonHttpClient client;
    private final String host;
    private final int port;

    public HttpTargetProvisioner(Vertx vertx, String host, int port, Duration deadline) {
        this.client = new JsonHttpClient(vertx, deadline);
        this.host = host;
        this.port = port;
    }

    @Override
    public Single<TargetOrderOutcome> execute(TargetOrder order) {
        return client.call(
                        HttpMethod.POST,
                        host,
                        port,
                        "/platform/v1/orders",
                        Codec.json().write(order))
                .map(response -> response.requireStatus(LOCATION, STATUS_OK))
                .map(response -> Codec.json().read(response.body(), TargetOrderOutcome.class, LOCATION));
    }

    @Override
    public Single<Optional<TargetOrderOutcome>> find(String orderId) {
        return get("/platform/v1/orders/" + encode(orderId), STATUS_OK, STATUS_NOT_FOUND)
                .map(response -> response.status() == STATUS_NOT_FOUND
                        ? Optional.empty()
                        : Optional.of(Codec.json().read(response.body(), TargetOrderOutcome.class, LOCATION)));
    }

    @Override
    public Single<List<PlatformTarget>> targets(String availabilityZone) {
        return get("/platform/v1/targets?zone=" + encode(availabilityZone), STATUS_OK)
                .map(response -> List.of(Codec.json().read(response.body(), PlatformTarget[].class, LOCATION)));
    }

    @Override
    public Single<List<PlatformInstance>> instances() {
        return get("/platform/v1/instances", STATUS_OK)
                .map(response -> List.of(Codec.json().read(response.body(), PlatformInstance[].class, LOCATION)));
    }

    private Single<JsonHttpClient.Response> get(String path, int... expectedStatuses) {
        return client.call(HttpMethod.GET, host, port, path, "")
                .map(response -> response.requireStatus(LOCATION, expectedStatuses));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
