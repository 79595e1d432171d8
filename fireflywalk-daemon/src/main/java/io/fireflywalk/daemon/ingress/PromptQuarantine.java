package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.PromptPartQuarantine;
import io.fireflywalk.core.ingress.PromptPartQuarantine.ClearedParts;
import io.fireflywalk.core.ingress.PromptPartQuarantine.QuarantinedPart;
import io.fireflywalk.core.ingress.TargetCrash;
import io.fireflywalk.daemon.ingress.FleetStore.CommitResult;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.daemon.ingress.FleetStore.RowTransaction;
import io.fireflywalk.daemon.ingress.FleetStore.Table;
import io.fireflywalk.daemon.ingress.PromptQuarantineMessages.QuarantineRow;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Shares the quarantine of prompt parts between the instances. Evidence is broadcast, because all of it together decides;
 * a quarantined part is also a row in the store, for instances that restart or were cut off. Instances agree on who tests
 * a part again by a write on condition of the row's version. Confined to one event loop.
 */
final class PromptQuarantine {
    private static final Logger LOG = Logger.getLogger(PromptQuarantine.class);
    static final String ROW_PREFIX = "quarantine/";
    /** Time between two attempts to write the row of a part, or to find out whether there is one. */
    private static final Duration STORE_RETRY_DELAY = Duration.ofSeconds(3);
    /** Time in which the instance that may test a part must receive a request with it. */
    private static final Duration PROBE_VALIDITY = Duration.ofSeconds(20);

    /** Spreads the calls of instances that have found a part at the same time. */
    private static final Duration MAXIMUM_ROW_CHECK_DELAY = Duration.ofSeconds(1);

    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofSeconds(3);
    private static final Duration CLEANUP_INTERVAL = Duration.ofMinutes(1);
    /** The row of a part that is asked for changes with each test, so an older one belongs to a part of the past. */
    private static final Duration ROW_LIFETIME = Duration.ofMinutes(15);

    private final String instance;
    private final FleetBroadcaster broadcaster;
    private final TargetDirectory directory;
    private final FleetCoordinator coordinator;
    private final FleetStore store;
    private final TimerService timers;
    private final RandomGenerator random;
    private final IngressMetrics metrics;
    private final PromptPartQuarantine parts = new PromptPartQuarantine();
    private final Map<String, PartState> states = new HashMap<>();

    /** What this instance knows of the row of a quarantined part. */
    private static final class PartState {
        /** Version of the row; 0 if it is not known to exist. */
        private long version;

        private int probes;
        private long changedAt;
        private long storeCalledAt = Long.MIN_VALUE / 2;
        private Optional<Long> probeAllowedUntil = Optional.empty();

        private boolean mayProbe(long now) {
            return probeAllowedUntil.filter(until -> now < until).isPresent();
        }

        private long untilProbe(long now) {
            return changedAt + PromptPartQuarantine.probeInterval(probes).toNanos() - now;
        }

        private Duration retryAfter(long now) {
            return Duration.ofNanos(Math.max(MINIMUM_RETRY_AFTER.toNanos(), untilProbe(now)));
        }
    }

    /**
     * Decision on a request.
     *
     * @param refused part because of which the request is refused
     * @param retryAfter time until a request may test that part again
     * @param probe true if the request tests a quarantined part
     */
    record Admission(Optional<String> refused, Duration retryAfter, boolean probe) {
        private static final Admission ADMITTED = new Admission(Optional.empty(), Duration.ZERO, false);
    }

    PromptQuarantine(
            IngressSettings settings,
            FleetBroadcaster broadcaster,
            TargetDirectory directory,
            FleetCoordinator coordinator,
            FleetStore store,
            TimerService timers,
            RandomGenerator random,
            IngressMetrics metrics) {
        this.instance = settings.instance().name();
        this.broadcaster = broadcaster;
        this.directory = directory;
        this.coordinator = coordinator;
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.metrics = metrics;
        broadcaster.onMessage(PromptQuarantineMessages.CRASH_TYPE, this::onReportedCrash);
        broadcaster.onMessage(PromptQuarantineMessages.ANSWER_TYPE, this::onReportedAnswer);
        coordinator.onRows(ROW_PREFIX, this::onRow);
        coordinator.onEraChanged(this::forgetVersions);
    }

    void start() {
        var unused = timers.repeat(CLEANUP_INTERVAL, "quarantine rows", this::removeOldRows);
    }

    /** Returns the number of quarantined parts. */
    int size() {
        return parts.size();
    }

    // Evidence

    /** Records the end of a target that this instance has observed. */
    void onCrash(TargetCrash crash) {
        List<QuarantinedPart> found = parts.recordCrash(crash, Optional.empty(), timers.monotonicNanoseconds());
        found.forEach(part -> {
            onQuarantined(part, crash.target(), instance);
            writeRow(part);
        });
        PromptQuarantineMessages.encode(instance, crash).forEach(broadcaster::broadcast);
    }

    private void onReportedCrash(JsonNode message) throws FireflywalkException {
        String sender = PromptQuarantineMessages.sender(message);
        TargetCrash crash = PromptQuarantineMessages.decodeCrash(message);
        if (!coordinator.instanceNames().contains(sender)
                || directory.find(crash.target()).isEmpty()) {
            metrics.count("crash_reports_ignored");
            LOG.debugf("event=crash_report_ignored sender=%s target=%s", sender, crash.target());
            return;
        }
        metrics.count("crash_reports_received");
        parts.recordCrash(crash, Optional.of(sender), timers.monotonicNanoseconds())
                .forEach(part -> {
                    onQuarantined(part, crash.target(), sender);
                    // The sender writes the row unless earlier reports did not reach it.
                    Duration delay = Duration.ofMillis(random.nextLong(MAXIMUM_ROW_CHECK_DELAY.toMillis()));
                    var unused = timers.after(delay).subscribe(() -> ensureRow(part));
                });
    }

    private void onQuarantined(QuarantinedPart part, String target, String source) {
        PartState state = states.computeIfAbsent(part.part(), name -> new PartState());
        state.changedAt = timers.monotonicNanoseconds();
        metrics.count("parts_quarantined");
        LOG.warnf(
                "event=part_quarantined part=%s companions=%s target=%s source=%s quarantined=%d",
                part.part(), part.companions(), target, source, parts.size());
    }

    /** Records the complete answer to a request with the parts. */
    void recordAnswer(List<String> requestParts) {
        ClearedParts cleared = parts.recordAnswer(requestParts);
        if (cleared.suspected().isEmpty()) {
            return;
        }
        PromptQuarantineMessages.encodeAnswer(instance, cleared.suspected()).forEach(broadcaster::broadcast);
        cleared.released().forEach(part -> {
            onReleased(part, "answered");
            removeRow(part);
        });
    }

    private void onReportedAnswer(JsonNode message) throws FireflywalkException {
        String sender = PromptQuarantineMessages.sender(message);
        if (coordinator.instanceNames().contains(sender)) {
            parts.recordAnswer(PromptQuarantineMessages.decodeAnswer(message))
                    .released()
                    .forEach(part -> onReleased(part, "answered at " + sender));
        }
    }

    private void onReleased(String part, String cause) {
        states.remove(part);
        LOG.infof("event=part_released part=%s cause=\"%s\" quarantined=%d", part, cause, parts.size());
    }

    // Requests

    /** Decides on a request with the parts before it is sent to a target. */
    Admission admit(List<String> requestParts) {
        Optional<QuarantinedPart> refusal = parts.refusalOf(requestParts);
        if (refusal.isEmpty()) {
            return Admission.ADMITTED;
        }
        QuarantinedPart part = refusal.get();
        PartState state = states.computeIfAbsent(part.part(), name -> new PartState());
        long now = timers.monotonicNanoseconds();
        if (state.mayProbe(now)) {
            state.probeAllowedUntil = Optional.empty();
            metrics.count("quarantine_probes");
            LOG.infof("event=quarantine_probe part=%s probes=%d", part.part(), state.probes);
            return new Admission(Optional.empty(), Duration.ZERO, true);
        }
        long untilProbe = state.untilProbe(now);
        if (now - state.storeCalledAt > STORE_RETRY_DELAY.toNanos()) {
            if (untilProbe <= 0 && state.version > 0 && coordinator.watcher().isInCurrentEra()) {
                claimProbe(part, state);
            } else if (state.version == 0 && now - state.changedAt > STORE_RETRY_DELAY.toNanos()) {
                ensureRow(part);
            }
        }
        return new Admission(Optional.of(part.part()), state.retryAfter(now), false);
    }

    /**
     * Returns the time after which a request with the parts that is refused now may return, and changes nothing; empty if
     * it would not be refused.
     */
    Optional<Duration> evaluate(List<String> requestParts) {
        long now = timers.monotonicNanoseconds();
        return parts.refusalOf(requestParts)
                .map(part -> Optional.ofNullable(states.get(part.part())).orElseGet(PartState::new))
                .filter(state -> !state.mayProbe(now))
                .map(state -> state.retryAfter(now));
    }

    // Rows

    /** Forgets the versions of rows that the store may have lost; requests with a part have its row written again. */
    private void forgetVersions() {
        states.values().forEach(state -> {
            state.version = 0;
            state.probeAllowedUntil = Optional.empty();
        });
    }

    private void onRow(FleetRow row) {
        String part = row.key().substring(ROW_PREFIX.length());
        if (row.value().isEmpty()) {
            if (parts.release(part)) {
                onReleased(part, "row removed");
            }
            return;
        }
        PartState known = states.get(part);
        if (known != null && known.version >= row.version()) {
            return;
        }
        try {
            QuarantineRow content =
                    PromptQuarantineMessages.decodeRow(part, row.value().get());
            if (parts.quarantine(content.quarantined(), timers.monotonicNanoseconds())) {
                onQuarantined(content.quarantined(), "-", "store");
            }
            if (parts.contains(part)) {
                recordRow(part, row.version(), content.probes());
            }
        } catch (FireflywalkException exception) {
            LOG.warnf("event=row_unreadable key=%s cause=\"%s\"", row.key(), exception.getMessage());
        }
    }

    private void recordRow(String part, long version, int probes) {
        PartState state = states.computeIfAbsent(part, name -> new PartState());
        state.version = version;
        state.probes = probes;
        state.changedAt = timers.monotonicNanoseconds();
        state.probeAllowedUntil = Optional.empty();
    }

    private boolean rowMissing(String part) {
        return parts.contains(part)
                && Optional.ofNullable(states.get(part))
                        .filter(state -> state.version == 0)
                        .isPresent();
    }

    /** Writes the row of a part that another instance should have written, if there is none. */
    private void ensureRow(QuarantinedPart part) {
        if (rowMissing(part.part())) {
            states.get(part.part()).storeCalledAt = timers.monotonicNanoseconds();
            readRow(part.part(), () -> writeRow(part));
        }
    }

    private void writeRow(QuarantinedPart part) {
        commit(part, 0, 0, version -> {
            if (parts.contains(part.part())) {
                recordRow(part.part(), version, 0);
            } else {
                removeRow(part.part());
            }
        });
    }

    /** Claims the next test of a part; the instance whose write succeeds admits one request. */
    private void claimProbe(QuarantinedPart part, PartState state) {
        int probes = state.probes + 1;
        commit(part, state.version, probes, version -> {
            recordRow(part.part(), version, probes);
            states.get(part.part()).probeAllowedUntil =
                    Optional.of(timers.monotonicNanoseconds() + PROBE_VALIDITY.toNanos());
        });
    }

    private void commit(QuarantinedPart part, long expectedVersion, int probes, Consumer<Long> onWritten) {
        states.computeIfAbsent(part.part(), name -> new PartState()).storeCalledAt = timers.monotonicNanoseconds();
        String key = ROW_PREFIX + part.part();
        var unused = store.commit(RowTransaction.empty()
                        .withPrecondition(Table.COORDINATION, key, expectedVersion)
                        .withWrite(
                                Table.COORDINATION,
                                key,
                                PromptQuarantineMessages.encode(new QuarantineRow(part, probes))))
                .subscribe(
                        result -> onCommitted(part.part(), result, onWritten),
                        cause -> LOG.warnf(
                                "event=quarantine_row_not_written part=%s cause=\"%s\"",
                                part.part(), cause.getMessage()));
    }

    private void onCommitted(String part, CommitResult result, Consumer<Long> onWritten) {
        LOG.infof("event=quarantine_row_written part=%s written=%s", part, result.committed());
        if (result.committed()) {
            onWritten.accept(result.version());
        } else {
            readRow(part, () -> {
                if (parts.release(part)) {
                    onReleased(part, "row removed");
                }
            });
        }
    }

    /** Reads a row that another instance may have changed. */
    private void readRow(String part, Runnable onMissing) {
        String key = ROW_PREFIX + part;
        var unused = store.read(Table.COORDINATION, key, key + '\0', 1)
                .subscribe(
                        page -> {
                            if (!coordinator.watcher().isInCurrentEra()) {
                                // Another era has begun, whose rows follow.
                                return;
                            }
                            page.rows().forEach(this::onRow);
                            if (page.rows().isEmpty()) {
                                onMissing.run();
                            }
                        },
                        cause -> LOG.warnf(
                                "event=quarantine_row_not_read part=%s cause=\"%s\"", part, cause.getMessage()));
    }

    /** Removes the row of a part, which another instance may have written without this one knowing its version. */
    private void removeRow(String part) {
        String key = ROW_PREFIX + part;
        var unused = store.commit(RowTransaction.empty().withRemoval(Table.COORDINATION, key))
                .subscribe(
                        result -> LOG.debugf("event=quarantine_row_removed part=%s", part),
                        cause -> LOG.warnf(
                                "event=quarantine_row_not_removed part=%s cause=\"%s\"", part, cause.getMessage()));
    }

    private void removeOldRows() {
        if (coordinator.fencingToken().isEmpty()) {
            return;
        }
        long now = timers.monotonicNanoseconds();
        states.forEach((part, state) -> {
            if (state.version > 0 && now - state.changedAt > ROW_LIFETIME.toNanos()) {
                removeRow(part);
            }
        });
    }
}
