package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.RoutingConfiguration;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;

/**
 * Holds the newest configuration received; its version never decreases. Content that cannot be decoded is rejected and
 * the current configuration kept. Confined to one event loop.
 */
final class ConfigurationHolder implements TableWatcher.Listener {
    private static final Logger LOG = Logger.getLogger(ConfigurationHolder.class);

    private final RowDecoder decoder;
    private Optional<RoutingConfiguration> current = Optional.empty();
    private Buffer encoded = Buffer.buffer();

    ConfigurationHolder(RowDecoder decoder) {
        this.decoder = decoder;
    }

    /** Returns the current configuration; empty until the first one was received. */
    Optional<RoutingConfiguration> current() {
        return current;
    }

    /** Returns the current configuration in encoded form, as served to other instances. */
    Buffer encoded() {
        return encoded;
    }

    /** Returns the current version, or 0 if there is none. */
    long version() {
        return current.map(RoutingConfiguration::version).orElse(0L);
    }

    @Override
    public void onSnapshot(List<FleetRow> rows) {
        onChanges(rows);
    }

    @Override
    public void onChanges(List<FleetRow> rows) {
        // Only the newest row is decoded when several versions arrive together.
        FleetRow newest = null;
        for (FleetRow row : rows) {
            if (row.key().equals(decoder.configurationKey()) && row.value().isPresent()) {
                newest = row;
            }
        }
        if (newest != null) {
            applyIfNewer(newest.value().get(), "store");
        }
    }

    /** Decodes a configuration and makes it current if it is newer. */
    void applyIfNewer(Buffer value, String source) {
        try {
            RoutingConfiguration decoded = decoder.configuration(value);
            if (current.isPresent() && decoded.version() <= version()) {
                return;
            }
            LOG.infof(
                    "event=configuration_applied version=%d previous=%d routes=%d source=%s",
                    decoded.version(), version(), decoded.routeCount(), source);
            logInvalidQuotas(decoded);
            current = Optional.of(current.map(decoded::withValidQuotasOf).orElse(decoded));
            encoded = value;
        } catch (FireflywalkException exception) {
            LOG.warnf("event=configuration_rejected source=%s cause=\"%s\"", source, exception.getMessage());
        }
    }

    private void logInvalidQuotas(RoutingConfiguration decoded) {
        for (String account : decoded.quotas().invalid()) {
            boolean known = current.filter(before -> before.quotas().byAccount().containsKey(account))
                    .isPresent();
            LOG.warnf(
                    "event=quota_invalid account=%s version=%d in_force=%s",
                    account, decoded.version(), known ? "\"last valid quota\"" : "none");
        }
    }
}
