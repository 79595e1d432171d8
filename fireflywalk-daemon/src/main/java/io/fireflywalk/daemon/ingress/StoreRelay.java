package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.membership.StoreReaderSelection;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.daemon.ingress.FleetStore.Table;
import io.fireflywalk.daemon.ingress.TableWatcher.RelayedChanges;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/**
 * Relays the store's changes within an availability zone, so that one instance of the zone reads them for all. The
 * reader sends changed rows as soon as it has read them, and at a fixed interval the version and age of what it has
 * read. An instance that misses a change or hears nothing reads the store itself. Confined to one event loop.
 */
final class StoreRelay {
    private static final Logger LOG = Logger.getLogger(StoreRelay.class);
    private static final String MESSAGE_TYPE = "store";
    private static final Duration NOTICE_INTERVAL = Duration.ofMillis(400);
    /** Time after which a reader whose notices stay out is replaced by the next one. */
    private static final Duration SILENCE_LIMIT = NOTICE_INTERVAL.multipliedBy(3);
    /**
     * Shortest time for changes to take effect with which the relay is used: a reader that fails delays a change until
     * the others notice its silence and have read the store, which takes two seconds and a half.
     */
    private static final Duration MINIMUM_CHANGE_DEADLINE = Duration.ofSeconds(3);
    /** Part of a message that is left for its head. */
    private static final int HEAD_BYTES = 200;
    /** Size of a row's field names and numbers. */
    private static final int ROW_OVERHEAD_BYTES = 60;

    private final String instance;
    private final String availabilityZone;
    private final boolean enabled;
    private final PeerMessenger messenger;
    private final FleetCoordinator coordinator;
    private final TimerService timers;
    private final Map<Table, TableWatcher> watchers = new EnumMap<>(Table.class);
    /** Time of the latest complete notice, by reader. */
    private final Map<String, Long> heardAt = new HashMap<>();

    private List<Peer> zonePeers = List.of();
    private boolean reading = true;

    StoreRelay(
            IngressSettings settings,
            PeerMessenger messenger,
            FleetCoordinator coordinator,
            TimerService timers,
            List<TableWatcher> watchers) {
        this.instance = settings.instance().name();
        this.availabilityZone = settings.instance().availabilityZone();
        this.enabled = usableWith(settings.bounds());
        this.messenger = messenger;
        this.coordinator = coordinator;
        this.timers = timers;
        watchers.forEach(watcher -> this.watchers.put(watcher.table(), watcher));
    }

    /** Tells whether changes may take the additional time of a relay. */
    static boolean usableWith(IngressSettings.Bounds bounds) {
        return bounds.changeDeadline().compareTo(MINIMUM_CHANGE_DEADLINE) >= 0;
    }

    void start() {
        if (!enabled) {
            return;
        }
        messenger.onMessage(MESSAGE_TYPE, this::onMessage);
        watchers.forEach(
                (table, watcher) -> watcher.useRelay(() -> reading, (after, rows) -> relayRows(table, after, rows)));
        var unused = timers.repeat(NOTICE_INTERVAL, "store relay", this::tick);
    }

    private void tick() {
        zonePeers = coordinator.peers().stream()
                .filter(peer -> peer.availabilityZone().equals(availabilityZone))
                .toList();
        updateRole();
        if (reading && watchers.values().stream().allMatch(TableWatcher::hasRecentOwnRead)) {
            ObjectNode message = newMessage();
            ArrayNode tables = message.putArray("tables");
            watchers.forEach((table, watcher) -> encode(tables, table, watcher.unchangedSinceLastChange()));
            messenger.send(message, zonePeers);
        }
    }

    private void updateRole() {
        Set<String> zoneInstances = zonePeers.stream().map(Peer::name).collect(Collectors.toSet());
        heardAt.keySet().retainAll(zoneInstances);
        zoneInstances.add(instance);
        boolean reads = StoreReaderSelection.reads(instance, zoneInstances, this::heardRecently);
        if (reads == reading) {
            return;
        }
        reading = reads;
        LOG.infof(
                "event=store_reader_changed reads=%s zone=%s instances=%d heard=%s",
                reads, availabilityZone, zoneInstances.size(), heardAt.keySet());
        if (reads) {
            watchers.values().forEach(TableWatcher::pollNow);
        }
    }

    private boolean heardRecently(String other) {
        return Optional.ofNullable(heardAt.get(other))
                .filter(heard -> timers.monotonicNanoseconds() - heard < SILENCE_LIMIT.toNanos())
                .isPresent();
    }

    // Sending

    /** Sends changed rows in as many messages as they need. Rows that exceed a message are read by the receivers. */
    private void relayRows(Table table, long after, List<FleetRow> rows) {
        if (!reading || zonePeers.isEmpty()) {
            return;
        }
        long sentThrough = after;
        List<FleetRow> chunk = new ArrayList<>();
        int bytes = HEAD_BYTES;
        for (int index = 0; index < rows.size(); index++) {
            FleetRow row = rows.get(index);
            int size = encodedBytes(row);
            if (bytes + size > PeerMessenger.MAXIMUM_BYTES) {
                // Rows of one transaction have the same version; the chunk is complete only before this one.
                sentThrough = sendRows(table, sentThrough, row.version() - 1, chunk);
                chunk = new ArrayList<>();
                bytes = HEAD_BYTES;
            }
            if (size > PeerMessenger.MAXIMUM_BYTES - HEAD_BYTES) {
                sentThrough = row.version();
                continue;
            }
            chunk.add(row);
            bytes += size;
        }
        sendRows(table, sentThrough, rows.get(rows.size() - 1).version(), chunk);
    }

    private long sendRows(Table table, long after, long version, List<FleetRow> rows) {
        ObjectNode message = newMessage();
        Optional<Long> era = watchers.get(table).era();
        encode(message.putArray("tables"), table, new RelayedChanges(era, after, version, Duration.ZERO, rows));
        messenger.send(message, zonePeers);
        return version;
    }

    private ObjectNode newMessage() {
        return PeerMessenger.message(MESSAGE_TYPE).put("sender", instance);
    }

    /** Returns an upper bound of the encoded size; values are encoded in base64. */
    private static int encodedBytes(FleetRow row) {
        int value = row.value().map(Buffer::length).orElse(0);
        return ROW_OVERHEAD_BYTES + row.key().length() + (value + 2) / 3 * 4;
    }

    private static void encode(ArrayNode tables, Table table, RelayedChanges changes) {
        ObjectNode encoded = tables.addObject()
                .put("table", table.name())
                .put("after", changes.after())
                .put("version", changes.version())
                .put("ageMilliseconds", changes.age().toMillis());
        changes.era().ifPresent(era -> encoded.put("era", era));
        if (!changes.rows().isEmpty()) {
            ArrayNode rows = encoded.putArray("rows");
            for (FleetRow row : changes.rows()) {
                ObjectNode encodedRow = rows.addObject().put("key", row.key()).put("version", row.version());
                row.value().ifPresent(value -> encodedRow.put("value", value.getBytes()));
            }
        }
    }

    // Receiving

    private void onMessage(JsonNode message) throws FireflywalkException {
        for (JsonNode encoded : message.path("tables")) {
            Optional<TableWatcher> watcher = watchers.values().stream()
                    .filter(each ->
                            each.table().name().equals(encoded.path("table").asText()))
                    .findFirst();
            if (watcher.isPresent()) {
                watcher.get().onRelayed(decode(encoded));
            }
        }
        if (message.path("tables").size() == watchers.size()) {
            heardAt.put(message.path("sender").asText(), timers.monotonicNanoseconds());
        }
    }

    private static RelayedChanges decode(JsonNode encoded) throws FireflywalkException {
        List<FleetRow> rows = new ArrayList<>();
        for (JsonNode row : encoded.path("rows")) {
            rows.add(new FleetRow(row.path("key").asText(), integer(row, "version"), value(row)));
        }
        return new RelayedChanges(
                encoded.has("era") ? Optional.of(integer(encoded, "era")) : Optional.empty(),
                integer(encoded, "after"),
                integer(encoded, "version"),
                Duration.ofMillis(Math.max(0, integer(encoded, "ageMilliseconds"))),
                rows);
    }

    private static Optional<Buffer> value(JsonNode row) throws FireflywalkException {
        JsonNode value = row.path("value");
        if (value.isMissingNode()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Buffer.buffer(Base64.getDecoder().decode(value.asText("-"))));
        } catch (IllegalArgumentException exception) {
            throw new FireflywalkException(
                    ErrorKind.INVALID_JSON, "value is not in base64", "store message", exception);
        }
    }

    private static long integer(JsonNode node, String field) throws FireflywalkException {
        if (!node.path(field).canConvertToLong()) {
            throw new FireflywalkException(
                    ErrorKind.INVALID_JSON, "field " + field + " is missing or not an integer", "store message");
        }
        return node.path(field).longValue();
    }
}
