package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.routing.PrefixHashes;
import io.fireflywalk.core.routing.RequestFeatures;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Set;

/** Estimates the size of a model request for routing and admission. Stateless. */
final class RequestFeatureEstimator {
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_OUTPUT_TOKENS = 256;
    private static final double MILLISECONDS_PER_SECOND = 1e3;

    private RequestFeatureEstimator() {}

    static RequestFeatures estimate(ModelRequest model, Buffer body, Duration deadline) {
        return new RequestFeatures(
                body.length() / BYTES_PER_TOKEN,
                model.maximumTokens().orElse(DEFAULT_OUTPUT_TOKENS),
                0,
                deadline.toMillis() / MILLISECONDS_PER_SECOND,
                PrefixHashes.of(body.getBytes()),
                Set.of());
    }
}
