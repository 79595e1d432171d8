package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.ingress.FleetStore.CommitResult;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.daemon.ingress.FleetStore.RowTransaction;
import io.fireflywalk.daemon.ingress.FleetStore.Table;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import org.jboss.logging.Logger;

/**
 * Stores this instance's counts of each usage window, and reports the totals of all instances while it holds the lease.
 * The totals of a window are stored before the first report and retries send the stored ones, so that a window is never
 * reported with different totals. If the store returns from an older copy, the counts are stored again, and windows of
 * which any instance knows the totals keep them. Confined to one event loop.
 */
final class IngressUsageReporter {
    private static final Logger LOG = Logger.getLogger(IngressUsageReporter.class);
    private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);
    /** Time after the end of a window at which instances store their counts. */
    private static final Duration STORE_DELAY = Duration.ofMillis(300);
    /** Time after the end of a window at which it is closed, if all instances have stored their counts. */
    private static final Duration CLOSE_DELAY = Duration.ofMillis(3500);
    /** Time after which it is closed without them; the rest of the ten seconds for a report is for a lease takeover. */
    private static final Duration FORCED_CLOSE_DELAY = Duration.ofSeconds(7);
    /** Windows older than this are no longer reported. */
    private static final int MAXIMUM_AGE_WINDOWS = 4;

    private static final int PAGE_ROWS = 500;
    /** The store accepts 100 writes in a transaction, and own counts take up to 72. */
    private static final int COPIES_PER_TRANSACTION = 20;

    private final IngressSettings settings;
    private final FleetStore store;
    private final ControlPlane controlPlane;
    private final UsageCounter counter;
    private final FleetCoordinator coordinator;
    private final UsageExchange exchange;
    private final TimerService timers;
    private final long windowMilliseconds;
    /** Distinguishes the rows of two runs of an instance within one window. */
    private final String runIdentifier = UUID.randomUUID().toString();

    private final CompositeDisposable subscriptions = new CompositeDisposable();
    /** Counts of other instances that are to be stored again, by key. */
    private final Map<String, Map<String, Long>> copiesToStore = new TreeMap<>();

    private boolean storing;
    private boolean reporting;
    private long reportedThrough;

    IngressUsageReporter(
            IngressSettings settings,
            FleetStore store,
            ControlPlane controlPlane,
            UsageCounter counter,
            FleetCoordinator coordinator,
            UsageExchange exchange,
            TimerService timers) {
        this.settings = settings;
        this.store = store;
        this.controlPlane = controlPlane;
        this.counter = counter;
        this.coordinator = coordinator;
        this.exchange = exchange;
        this.timers = timers;
        this.windowMilliseconds =
                Duration.ofSeconds(settings.bounds().usageWindowSeconds()).toMillis();
        // Windows from before the start may be unreported, if the whole fleet was stopped before they were closed.
        this.reportedThrough = counter.currentWindow() - 1 - MAXIMUM_AGE_WINDOWS;
        coordinator.onEraChanged(this::storeAgain);
    }

    void start() {
        subscriptions.add(timers.repeat(TICK_INTERVAL, "usage", () -> {
            long closed = (timers.wallClockMilliseconds() - STORE_DELAY.toMillis()) / windowMilliseconds;
            storeCounts(closed);
            report();
        }));
    }

    /** Stops and stores all counts, including those of the open window. */
    Completable stop() {
        subscriptions.dispose();
        return storeWindows(counter.allCounts(), Map.of());
    }

    /** Has everything stored again that the store may have lost and that may still be reported. */
    private void storeAgain() {
        counter.restoreStored();
        String oldest = windowKey(counter.currentWindow() - 1 - MAXIMUM_AGE_WINDOWS);
        exchange.copies().entrySet().stream()
                .filter(copy -> copy.getKey().compareTo(oldest) >= 0)
                .forEach(copy -> copiesToStore.put(copy.getKey(), copy.getValue()));
    }

    private void storeCounts(long beforeWindow) {
        Map<Long, Map<String, Long>> closed = counter.countsBefore(beforeWindow);
        if (storing || (closed.isEmpty() && copiesToStore.isEmpty())) {
            return;
        }
        storing = true;
        List<Long> stored = List.copyOf(closed.keySet());
        Map<String, Map<String, Long>> copies = new TreeMap<>();
        copiesToStore.entrySet().stream()
                .limit(COPIES_PER_TRANSACTION)
                .forEach(copy -> copies.put(copy.getKey(), copy.getValue()));
        subscriptions.add(storeWindows(closed, copies)
                .subscribe(
                        () -> {
                            storing = false;
                            stored.forEach(counter::markStored);
                            copiesToStore.keySet().removeAll(copies.keySet());
                        },
                        cause -> {
                            storing = false;
                            LOG.warnf("event=usage_not_stored windows=%s cause=\"%s\"", stored, cause.getMessage());
                        }));
    }

    private Completable storeWindows(Map<Long, Map<String, Long>> windows, Map<String, Map<String, Long>> copies) {
        if (windows.isEmpty() && copies.isEmpty()) {
            return Completable.complete();
        }
        RowTransaction transaction = RowTransaction.empty();
        for (Map.Entry<Long, Map<String, Long>> window : windows.entrySet()) {
            String key = windowKey(window.getKey()) + settings.instance().name() + "/" + runIdentifier;
            exchange.copy(key, window.getValue());
            transaction = transaction.withWrite(Table.USAGE, key, encode(window.getValue()));
        }
        for (Map.Entry<String, Map<String, Long>> copy : copies.entrySet()) {
            transaction = transaction.withWrite(Table.USAGE, copy.getKey(), encode(copy.getValue()));
        }
        return store.commit(transaction).ignoreElement();
    }

    private static Buffer encode(Map<String, Long> counts) {
        ObjectNode encoded = Codec.json().mapper().createObjectNode();
        counts.forEach(encoded::put);
        return Buffer.buffer(encoded.toString());
    }

    private static String windowKey(long window) {
        return String.format(Locale.ROOT, "%016d/", window);
    }

    // Reports

    private void report() {
        if (reporting
                || coordinator.fencingToken().isEmpty()
                || settings.reports().isEmpty()
                || !exchange.isInformed(coordinator.fencingToken().get())) {
            return;
        }
        long newest = (timers.wallClockMilliseconds() - CLOSE_DELAY.toMillis()) / windowMilliseconds - 1;
        long next = Math.max(reportedThrough + 1, newest - MAXIMUM_AGE_WINDOWS);
        if (next > newest) {
            return;
        }
        reporting = true;
        subscriptions.add(reportWindow(next)
                .subscribe(
                        done -> {
                            reporting = false;
                            if (done) {
                                reportedThrough = Math.max(reportedThrough, next);
                                // After a takeover several windows are due; one per tick would make the last ones
                                // late.
                                report();
                            }
                        },
                        cause -> {
                            reporting = false;
                            LOG.warnf("event=usage_not_reported window=%d cause=\"%s\"", next, cause.getMessage());
                        }));
    }

    /** Reports a window; emits false if counts of an instance are still awaited. */
    private Single<Boolean> reportWindow(long window) {
        String key = windowKey(window);
        if (exchange.isIncomplete(key)) {
            LOG.warnf("event=usage_window_skipped window=%d cause=\"another instance announced totals\"", window);
            return Single.just(true);
        }
        return store.read(Table.REPORT, key, key + '\0', 1).flatMap(page -> {
            if (exchange.totals(key).isPresent()) {
                return repeatReport(
                        window, exchange.totals(key).get(), page.rows().isEmpty());
            }
            if (page.rows().isEmpty() && mayHaveLostReport(window)) {
                LOG.warnf("event=usage_window_skipped window=%d cause=\"the store may have lost its report\"", window);
                return Single.just(true);
            }
            Maybe<Map<String, Long>> totals = page.rows().isEmpty()
                    ? sumCounts(window, "", new TreeMap<>(), new HashSet<>()).flatMap(sum -> storeTotals(key, sum))
                    : Maybe.just(parseCounts(page.rows().get(0)));
            return totals.flatMapSingle(found -> {
                        exchange.announce(key, found);
                        return sendReport(window, found).toSingleDefault(true);
                    })
                    .defaultIfEmpty(false);
        });
    }

    /** Reports the totals that an instance has announced, which the store may have lost. */
    private Single<Boolean> repeatReport(long window, Map<String, Long> totals, boolean lost) {
        Completable stored = lost ? commitTotals(windowKey(window), totals).ignoreElement() : Completable.complete();
        return stored.andThen(sendReport(window, totals)).toSingleDefault(true);
    }

    /**
     * Tells whether the window may have been reported before the store returned from an older copy although no instance
     * that has answered this one knows of it: all that were told of the report have ended.
     */
    private boolean mayHaveLostReport(long window) {
        long earliestReport = (window + 1) * windowMilliseconds + CLOSE_DELAY.toMillis();
        return coordinator
                        .eraChangeSeenAt()
                        .filter(seenAt -> earliestReport <= seenAt)
                        .isPresent()
                && earliestReport < exchange.informedSince();
    }

    private Completable sendReport(long window, Map<String, Long> totals) {
        return Completable.defer(() -> {
            var token = coordinator.fencingToken();
            if (token.isEmpty()) {
                return Completable.error(
                        new FireflywalkException(ErrorKind.AUTHORITY_LOST, "the lease ended", "usage report"));
            }
            return controlPlane
                    .reportUsage(coordinator.holder(token.get()), window, totals)
                    .doOnSuccess(accepted -> {
                        LOG.infof(
                                "event=usage_reported window=%d token=%d accounts=%d accepted=%s",
                                window, token.get(), totals.size(), accepted);
                        if (!accepted) {
                            coordinator.relinquishLease();
                        }
                    })
                    .ignoreElement();
        });
    }

    private Single<CommitResult> commitTotals(String key, Map<String, Long> totals) {
        return store.commit(RowTransaction.empty()
                .withPrecondition(Table.REPORT, key, 0)
                .withWrite(Table.REPORT, key, encode(totals)));
    }

    private Maybe<Map<String, Long>> storeTotals(String key, Map<String, Long> totals) {
        return commitTotals(key, totals)
                .flatMapMaybe(result -> result.committed()
                        ? Maybe.just(totals)
                        : Maybe.error(new FireflywalkException(
                                ErrorKind.STORE_UNAVAILABLE, "another instance stored the totals", "usage report")));
    }

    private boolean mustClose(long window) {
        return timers.wallClockMilliseconds() >= (window + 1) * windowMilliseconds + FORCED_CLOSE_DELAY.toMillis();
    }

    /** Sums the counts of a window; empty while an instance has not stored its counts and may still do so. */
    private Maybe<Map<String, Long>> sumCounts(
            long window, String after, Map<String, Long> total, Set<String> instances) {
        String from = after.isEmpty() ? windowKey(window) : after + '\0';
        return store.read(Table.USAGE, from, windowKey(window + 1), PAGE_ROWS).flatMapMaybe(page -> {
            for (FleetRow row : page.rows()) {
                parseCounts(row).forEach((account, count) -> total.merge(account, count, Long::sum));
                instances.add(instanceName(row.key()));
            }
            if (page.hasMore() && !page.rows().isEmpty()) {
                return sumCounts(window, page.rows().get(page.rows().size() - 1).key(), total, instances);
            }
            boolean closed = mustClose(window) || instances.containsAll(coordinator.instanceNames());
            return closed ? Maybe.just(total) : Maybe.empty();
        });
    }

    /** Returns the instance name from a key of the form {@code window/instance/run}. */
    private static String instanceName(String key) {
        return key.substring(key.indexOf('/') + 1, key.lastIndexOf('/'));
    }

    private static Map<String, Long> parseCounts(FleetRow row) throws FireflywalkException {
        String text = row.value().orElse(Buffer.buffer("{}")).toString(StandardCharsets.UTF_8);
        JsonNode node = Codec.json().read(text, JsonNode.class, row.key());
        Map<String, Long> counts = new TreeMap<>();
        node.properties()
                .forEach(field -> counts.put(field.getKey(), field.getValue().asLong()));
        return counts;
    }
}
