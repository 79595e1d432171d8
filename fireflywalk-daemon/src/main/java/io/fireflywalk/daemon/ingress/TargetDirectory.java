package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.TargetEntry;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.jboss.logging.Logger;

/**
 * Targets by service, from the entries that they register in the store. Targets whose entries expired during an outage
 * of the store are kept for the time in which live targets register again. Confined to one event loop.
 */
final class TargetDirectory implements TableWatcher.Listener {
    private static final Logger LOG = Logger.getLogger(TargetDirectory.class);
    /**
     * Live targets register again within about two seconds after an outage. An expired entry may also belong to a
     * target that is shutting down, which must get no requests after two seconds; the difference allows for the poll
     * interval.
     */
    private static final Duration REREGISTRATION_GRACE = Duration.ofMillis(1400);

    private final RowDecoder decoder;
    private final TimerService timers;
    private final Supplier<Duration> timeSinceStoreRecovery;
    private final ToIntFunction<String> promptCacheTokens;
    private final Map<String, TargetState> targets = new HashMap<>();
    private final Map<String, Map<String, TargetState>> byService = new HashMap<>();
    /** Time at which the entry of a target was found missing, by target. */
    private final Map<String, Long> missingSince = new HashMap<>();

    /**
     * Creates a directory.
     *
     * @param promptCacheTokens returns the tokens of KV cache that a target of a service has for prompts
     */
    TargetDirectory(
            RowDecoder decoder,
            TimerService timers,
            Supplier<Duration> timeSinceStoreRecovery,
            ToIntFunction<String> promptCacheTokens) {
        this.decoder = decoder;
        this.timers = timers;
        this.timeSinceStoreRecovery = timeSinceStoreRecovery;
        this.promptCacheTokens = promptCacheTokens;
    }

    /** Returns the targets of a service, including those that are shutting down. */
    Collection<TargetState> forService(String service) {
        removeMissing();
        return byService.getOrDefault(service, Map.of()).values();
    }

    /** Returns the target with the identifier. */
    Optional<TargetState> find(String identifier) {
        return Optional.ofNullable(targets.get(identifier));
    }

    /** Returns the time until a target of a service wants requests again, if all of them want none now. */
    Optional<Duration> timeUntilFirstReturn(String service) {
        long now = timers.monotonicNanoseconds();
        Collection<TargetState> ofService = forService(service);
        if (ofService.stream().anyMatch(target -> target.acceptsRequests(now))) {
            return Optional.empty();
        }
        return ofService.stream()
                .filter(target -> target.heldOff(now))
                .map(target -> Duration.ofNanos(target.heldOffNanoseconds(now)))
                .min(Comparator.naturalOrder());
    }

    /** Returns the number of targets. */
    int size() {
        return targets.size();
    }

    @Override
    public void onSnapshot(List<FleetRow> rows) {
        Set<String> absent = new HashSet<>(targets.keySet());
        rows.forEach(row -> absent.remove(row.key()));
        onChanges(rows);
        absent.forEach(this::onEntryMissing);
    }

    @Override
    public void onChanges(List<FleetRow> rows) {
        for (FleetRow row : rows) {
            if (row.value().isEmpty()) {
                onEntryMissing(row.key());
            } else {
                onEntryWritten(row);
            }
        }
        removeMissing();
    }

    /** Removes targets whose missing entries are past the grace period. */
    private void removeMissing() {
        if (missingSince.isEmpty()) {
            return;
        }
        boolean recovered = timeSinceStoreRecovery.get().compareTo(REREGISTRATION_GRACE) > 0;
        long now = timers.monotonicNanoseconds();
        for (Map.Entry<String, Long> entry : List.copyOf(missingSince.entrySet())) {
            if (recovered || now - entry.getValue() > REREGISTRATION_GRACE.toNanos()) {
                remove(entry.getKey());
            }
        }
    }

    private void onEntryWritten(FleetRow row) {
        try {
            TargetEntry entry = decoder.target(row.key(), row.value().get());
            missingSince.remove(row.key());
            put(entry);
        } catch (FireflywalkException exception) {
            LOG.debugf("event=target_entry_ignored key=%s cause=\"%s\"", row.key(), exception.getMessage());
            remove(row.key());
        } catch (RuntimeException exception) {
            // Without this, one entry that raises an unexpected error would keep all later changes from being applied.
            LOG.errorf(exception, "event=target_entry_ignored key=%s", row.key());
            remove(row.key());
        }
    }

    private void put(TargetEntry entry) {
        TargetState known = targets.get(entry.identifier());
        if (known == null) {
            known = new TargetState(entry, () -> promptCacheTokens.applyAsInt(entry.service()));
            targets.put(entry.identifier(), known);
            log("target_added", entry);
        } else {
            TargetEntry previous = known.entry();
            if (!previous.service().equals(entry.service())) {
                removeFromService(previous);
            }
            known.update(entry);
            if (previous.leaving() != entry.leaving() || previous.stage() != entry.stage()) {
                log("target_changed", entry);
            }
        }
        byService.computeIfAbsent(entry.service(), name -> new HashMap<>()).put(entry.identifier(), known);
    }

    private void onEntryMissing(String identifier) {
        if (!targets.containsKey(identifier)) {
            return;
        }
        missingSince.putIfAbsent(identifier, timers.monotonicNanoseconds());
        removeMissing();
    }

    private void remove(String identifier) {
        missingSince.remove(identifier);
        TargetState known = targets.remove(identifier);
        if (known != null) {
            removeFromService(known.entry());
            log("target_removed", known.entry());
        }
    }

    private void removeFromService(TargetEntry entry) {
        Map<String, TargetState> ofService = byService.getOrDefault(entry.service(), Map.of());
        if (!ofService.isEmpty()) {
            ofService.remove(entry.identifier());
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
                entry.heartbeatSequence());
    }
}
