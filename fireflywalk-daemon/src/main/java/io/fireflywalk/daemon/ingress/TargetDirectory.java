package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.TargetEntry;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Targets by service, from the entries that they write of themselves. Entries that lapsed while the store was away stay
 * for the time in which live targets write them again. Confined to one event loop.
 */
final class TargetDirectory implements TableFollower.Listener {
    private static final Logger LOG = Logger.getLogger(TargetDirectory.class);
    /**
     * Live targets are back in the store about two seconds after its return. A lapsed entry may also be that of a target
     * that leaves, which must get nothing after two seconds; the rest of them is for the poll.
     */
    private static final Duration RETURN_GRACE = Duration.ofMillis(1400);

    private final RowDecoder decoder;
    private final TimerService timers;
    private final Supplier<Duration> sinceStoreRecovery;
    private final Map<String, TargetState> targets = new HashMap<>();
    private final Map<String, Map<String, TargetState>> byService = new HashMap<>();
    /** Time since which an entry is missing, by target. */
    private final Map<String, Long> missing = new HashMap<>();

    TargetDirectory(RowDecoder decoder, TimerService timers, Supplier<Duration> sinceStoreRecovery) {
        this.decoder = decoder;
        this.timers = timers;
        this.sinceStoreRecovery = sinceStoreRecovery;
    }

    /** Returns the targets of a service, leaving ones included. */
    Collection<TargetState> of(String service) {
        removeMissing();
        return byService.getOrDefault(service, Map.of()).values();
    }

    /** Returns the target of the identifier. */
    Optional<TargetState> find(String identifier) {
        return Optional.ofNullable(targets.get(identifier));
    }

    /** Returns the number of targets. */
    int size() {
        return targets.size();
    }

    @Override
    public void replaced(List<FleetRow> rows) {
        Set<String> absent = new HashSet<>(targets.keySet());
        rows.forEach(row -> absent.remove(row.key()));
        changed(rows);
        absent.forEach(this::lapsed);
    }

    @Override
    public void changed(List<FleetRow> rows) {
        for (FleetRow row : rows) {
            if (row.value().isEmpty()) {
                lapsed(row.key());
            } else {
                written(row);
            }
        }
        removeMissing();
    }

    /** Removes targets whose entries did not come back after the store did. */
    private void removeMissing() {
        if (missing.isEmpty()) {
            return;
        }
        boolean recovered = sinceStoreRecovery.get().compareTo(RETURN_GRACE) > 0;
        long now = timers.monotonicNanoseconds();
        for (Map.Entry<String, Long> entry : List.copyOf(missing.entrySet())) {
            if (recovered || now - entry.getValue() > RETURN_GRACE.toNanos()) {
                remove(entry.getKey());
            }
        }
    }

    private void written(FleetRow row) {
        try {
            TargetEntry entry = decoder.target(row.key(), row.value().get());
            missing.remove(row.key());
            put(entry);
        } catch (FireflywalkException exception) {
            LOG.debugf("event=target_entry_ignored key=%s cause=\"%s\"", row.key(), exception.getMessage());
            remove(row.key());
        }
    }

    private void put(TargetEntry entry) {
        TargetState known = targets.get(entry.identifier());
        if (known == null) {
            known = new TargetState(entry);
            targets.put(entry.identifier(), known);
            log("target_added", entry);
        } else {
            TargetEntry previous = known.entry();
            if (!previous.service().equals(entry.service())) {
                unlist(previous);
            }
            known.update(entry);
            if (previous.leaving() != entry.leaving() || previous.stage() != entry.stage()) {
                log("target_changed", entry);
            }
        }
        byService.computeIfAbsent(entry.service(), name -> new HashMap<>()).put(entry.identifier(), known);
    }

    private void lapsed(String identifier) {
        if (!targets.containsKey(identifier)) {
            return;
        }
        missing.putIfAbsent(identifier, timers.monotonicNanoseconds());
        removeMissing();
    }

    private void remove(String identifier) {
        missing.remove(identifier);
        TargetState known = targets.remove(identifier);
        if (known != null) {
            unlist(known.entry());
            log("target_removed", known.entry());
        }
    }

    private void unlist(TargetEntry entry) {
        Map<String, TargetState> listed = byService.getOrDefault(entry.service(), Map.of());
        if (!listed.isEmpty()) {
            listed.remove(entry.identifier());
        }
    }

    private static void log(String event, TargetEntry entry) {
        LOG.infof(
                "event=%s target=%s service=%s address=%s zone=%s stage=%s leaving=%s heartbeat=%d",
                event,
                entry.identifier(),
                entry.service(),
                entry.address(),
                entry.availabilityZone(),
                entry.stage(),
                entry.leaving(),
                entry.heartbeats());
    }
}
