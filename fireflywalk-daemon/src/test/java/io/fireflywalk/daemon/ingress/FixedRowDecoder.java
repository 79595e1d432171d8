package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.RoutingConfiguration;
import io.fireflywalk.core.ingress.TargetEntry;
import io.vertx.core.buffer.Buffer;

/** Decoder that returns the same prefill runner for each entry. */
final class FixedRowDecoder implements RowDecoder {
    @Override
    public String configurationKey() {
        return "config";
    }

    @Override
    public RoutingConfiguration configuration(Buffer value) {
        throw new UnsupportedOperationException("no configuration in this test");
    }

    @Override
    public TargetEntry target(String key, Buffer value) {
        return new TargetEntry(
                key, "service", "10.0.0.9", 80, "zone-0", 8, false, false, TargetEntry.Stage.PREFILL, 0, 1);
    }
}
