package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.CallerLimits;
import io.fireflywalk.core.ingress.RoutingConfiguration;
import io.fireflywalk.core.ingress.TargetEntry;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against an older configuration that replaces a newer one, and against losing it to undecodable content. */
class ConfigurationHolderProperties {
    /** Version for which the decoder throws. */
    private static final int UNDECODABLE = 0;

    private static final RowDecoder DECODER = new RowDecoder() {
        @Override
        public String configurationKey() {
            return "config";
        }

        @Override
        public RoutingConfiguration configuration(Buffer value) throws FireflywalkException {
            long version = Long.parseLong(value.toString());
            if (version == UNDECODABLE) {
                throw new FireflywalkException(ErrorKind.CONFIGURATION_INVALID, "undecodable", "configuration");
            }
            return new RoutingConfiguration(
                    version,
                    List.of(),
                    List.of(),
                    Map.of(),
                    true,
                    new CallerLimits(1000, 16_384, Duration.ofSeconds(1), Duration.ofSeconds(1)));
        }

        @Override
        public TargetEntry target(String key, Buffer value) {
            throw new AssertionError("not used");
        }
    };

    @Property
    void newestDecodableVersionIsCurrent(
            @ForAll List<@IntRange(max = 20) Integer> versions, @ForAll List<Boolean> fromStore) {
        ConfigurationHolder holder = new ConfigurationHolder(DECODER);
        long newest = 0;
        for (int index = 0; index < versions.size(); index++) {
            Buffer value = Buffer.buffer(Integer.toString(versions.get(index)));
            if (index < fromStore.size() && fromStore.get(index)) {
                holder.onChanges(List.of(new FleetRow("config", index, Optional.of(value))));
            } else {
                holder.applyIfNewer(value, "10.0.0.1");
            }
            newest = Math.max(newest, versions.get(index));
            assertEquals(newest, holder.version());
            assertEquals(newest > 0, holder.current().isPresent());
            assertEquals(
                    newest > 0 ? Long.toString(newest) : "", holder.encoded().toString());
        }
    }
}
