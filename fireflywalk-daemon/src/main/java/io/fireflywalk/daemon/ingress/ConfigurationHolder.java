package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.RoutingConfiguration;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;

/**
 * Holds the newest configuration that this process has seen; its version only grows. Content that cannot be decoded
 * leaves the present one in force. Confined to one event loop.
 */
final class ConfigurationHolder implements TableFollower.Listener {
    private static final Logger LOG = Logger.getLogger(ConfigurationHolder.class);

    private final RowDecoder decoder;
    private Optional<RoutingConfiguration> current = Optional.empty();
    private Buffer encoded = Buffer.buffer();

    ConfigurationHolder(RowDecoder decoder) {
        this.decoder = decoder;
    }

    /** Returns the configuration in force, if any was seen. */
    Optional<RoutingConfiguration> current() {
        return current;
    }

    /** Returns the configuration in force as it was written, for other instances. */
    Buffer encoded() {
        return encoded;
    }

    /** Returns the version in force, or 0. */
    long version() {
        return current.map(RoutingConfiguration::version).orElse(0L);
    }

    @Override
    public void replaced(List<FleetRow> rows) {
        changed(rows);
    }

    @Override
    public void changed(List<FleetRow> rows) {
        // Only the newest row counts, so a quick succession of versions is decoded once.
        FleetRow newest = null;
        for (FleetRow row : rows) {
            if (row.key().equals(decoder.configurationKey()) && row.value().isPresent()) {
                newest = row;
            }
        }
        if (newest != null) {
            take(newest.value().get(), "store");
        }
    }

    /** Takes a configuration if it is newer than the present one. */
    void take(Buffer value, String source) {
        try {
            RoutingConfiguration found = decoder.configuration(value);
            if (current.isPresent() && found.version() <= version()) {
                return;
            }
            LOG.infof(
                    "event=configuration_applied version=%d previous=%d routes=%d source=%s",
                    found.version(), version(), found.routeCount(), source);
            current = Optional.of(found);
            encoded = value;
        } catch (FireflywalkException exception) {
            LOG.warnf("event=configuration_rejected source=%s cause=\"%s\"", source, exception.getMessage());
        }
    }
}
