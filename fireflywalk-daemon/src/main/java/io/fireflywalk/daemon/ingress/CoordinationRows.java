package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.services.codec.Codec;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.jboss.logging.Logger;

/** Codec of the rows of live instances and of the lease. Stateless. */
final class CoordinationRows {
    private static final Logger LOG = Logger.getLogger(CoordinationRows.class);
    /** Holder in the row of a lease that has been released. */
    static final String NO_HOLDER = "";

    private CoordinationRows() {}

    /** Content and version of the lease row; the era is that of its writer, or 0 if the store stated none. */
    record LeaseRow(String holder, long token, long era, long version) {
        static final LeaseRow NONE = new LeaseRow(NO_HOLDER, 0, 0, 0);

        /** Tells whether the lease was released in an era of the store. */
        boolean isReleasedIn(Optional<Long> storeEra) {
            return holder.equals(NO_HOLDER) && era == storeEra.orElse(0L);
        }
    }

    static Buffer encodeMember(IngressSettings settings, long wallClockMilliseconds) {
        return Buffer.buffer(Codec.json()
                .mapper()
                .createObjectNode()
                .put("zone", settings.instance().availabilityZone())
                .put("host", settings.instance().host())
                .put("port", settings.listen().peerPort())
                .put("time", wallClockMilliseconds)
                .toString());
    }

    /** Returns the address of an instance, or empty if its row cannot be read. */
    static Optional<Peer> decodeMember(String name, FleetRow row) {
        return parse(row)
                .map(content -> new Peer(
                        name,
                        content.path("zone").asText(),
                        content.path("host").asText(),
                        content.path("port").asInt()));
    }

    static Buffer encodeLease(String holder, long token, Optional<Long> era) {
        ObjectNode value =
                Codec.json().mapper().createObjectNode().put("holder", holder).put("token", token);
        era.ifPresent(number -> value.put("era", number));
        return Buffer.buffer(value.toString());
    }

    /** Returns the lease, or empty if its row cannot be read. */
    static Optional<LeaseRow> decodeLease(FleetRow row) {
        return parse(row)
                .map(content -> new LeaseRow(
                        content.path("holder").asText(),
                        content.path("token").asLong(),
                        content.path("era").asLong(),
                        row.version()));
    }

    private static Optional<JsonNode> parse(FleetRow row) {
        try {
            String text = row.value().orElse(Buffer.buffer("{}")).toString(StandardCharsets.UTF_8);
            return Optional.of(Codec.json().read(text, JsonNode.class, row.key()));
        } catch (FireflywalkException exception) {
            LOG.warnf("event=row_unreadable key=%s cause=\"%s\"", row.key(), exception.getMessage());
            return Optional.empty();
        }
    }
}
