package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.RequestDescription;
import io.vertx.core.MultiMap;
import java.time.Duration;
import java.util.Optional;

/** Codec of callers' headers. Stateless. */
public interface CallerProtocol {

    /** Reads what the caller says of its request. */
    RequestDescription describe(MultiMap headers) throws FireflywalkException;

    /** Returns the key that the caller presents. */
    Optional<String> key(MultiMap headers);

    /** Adds the time after which a caller may come back with a request that has not run. */
    void retryAfter(MultiMap headers, Duration wait);
}
