package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.RoutingConfiguration;
import io.fireflywalk.core.ingress.TargetEntry;
import io.vertx.core.buffer.Buffer;

/** Decoder of the rows that the operator and the targets write. Stateless. */
public interface RowDecoder {

    /** Returns the key of the row with the configuration. */
    String configurationKey();

    /** Decodes a configuration. */
    RoutingConfiguration configuration(Buffer value) throws FireflywalkException;

    /** Decodes what a target says of itself; fails if the entry names no usable target. */
    TargetEntry target(String key, Buffer value) throws FireflywalkException;
}
