package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.RequestDescription;
import io.vertx.core.MultiMap;
import java.time.Duration;
import java.util.Optional;

/** Decodes the request headers of callers and encodes response headers for them. Stateless. */
public interface CallerProtocol {

    /** Parses the attempt identifier, deadline and token counts of a request. */
    RequestDescription describe(MultiMap headers) throws FireflywalkException;

    /** Returns the API key of the request. */
    Optional<String> apiKey(MultiMap headers);

    /** Sets the time after which the caller may retry a request that did not run. */
    void setRetryAfter(MultiMap headers, Duration delay);
}
