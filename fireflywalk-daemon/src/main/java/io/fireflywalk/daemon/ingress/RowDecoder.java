package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.RoutingConfiguration;
import io.fireflywalk.core.ingress.TargetEntry;
import io.vertx.core.buffer.Buffer;

/** Decodes rows written by the operator and by targets. Stateless. */
public interface RowDecoder {

    /** Returns the key of the configuration row. */
    String configurationKey();

    /** Decodes the value of the configuration row. */
    RoutingConfiguration configuration(Buffer value) throws FireflywalkException;

    /** Decodes the entry that a target registered for itself; fails if it is incomplete or malformed. */
    TargetEntry target(String key, Buffer value) throws FireflywalkException;
}
