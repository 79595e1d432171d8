package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
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
 * reported with different totals. Confined to one event loop.
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

    private final IngressSettings settings;
    private final FleetStore store;
    private final ControlPlane controlPlane;
    private final UsageCounter counter;
    private final FleetCoordinator coordinator;
    private final TimerService timers;
    private final long windowMilliseconds;
    /** Distinguishes the rows of two runs of an instance within one window. */
    private final String runIdentifier = UUID.randomUUID().toString();

    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private boolean storing;
    private boolean reporting;
    private long reportedThrough;

    IngressUsageReporter(
            IngressSettings settings,
            FleetStore store,
            ControlPlane controlPlane,
            UsageCounter counter,
            FleetCoordinator coordinator,
            TimerService timers) {
        this.settings = settings;
        this.store = store;
        this.controlPlane = controlPlane;
        this.counter = counter;
        this.coordinator = coordinator;
        this.timers = timers;
        this.windowMilliseconds =
                Duration.ofSeconds(settings.bounds().usageWindowSeconds()).toMillis();
        // Windows from before the start may be unreported, if the whole fleet was stopped before they were closed.
        this.reportedThrough = counter.currentWindow() - 1 - MAXIMUM_AGE_WINDOWS;
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
        return storeWindows(counter.allCounts());
    }

    private void storeCounts(long beforeWindow) {
        if (storing || counter.countsBefore(beforeWindow).isEmpty()) {
            return;
        }
        storing = true;
        List<Long> stored = List.copyOf(counter.countsBefore(beforeWindow).keySet());
        subscriptions.add(storeWindows(counter.countsBefore(beforeWindow))
                .subscribe(
                        () -> {
                            storing = false;
                            stored.forEach(counter::remove);
                        },
                        cause -> {
                            storing = false;
                            LOG.warnf("event=usage_not_stored windows=%s cause=\"%s\"", stored, cause.getMessage());
                        }));
    }

    private Completable storeWindows(Map<Long, Map<String, Long>> windows) {
        if (windows.isEmpty()) {
            return Completable.complete();
        }
        RowTransaction transaction = RowTransaction.empty();
        for (Map.Entry<Long, Map<String, Long>> window : windows.entrySet()) {
            ObjectNode counts = Codec.json().mapper().createObjectNode();
            window.getValue().forEach(counts::put);
            transaction = transaction.withWrite(
                    Table.USAGE,
                    windowKey(window.getKey()) + settings.instance().name() + "/" + runIdentifier,
                    Buffer.buffer(counts.toString()));
        }
        return store.commit(transaction).ignoreElement();
    }

    private static String windowKey(long window) {
        return String.format(Locale.ROOT, "%016d/", window);
    }

    // Reports

    private void report() {
        if (reporting
                || coordinator.fencingToken().isEmpty()
                || settings.reports().isEmpty()) {
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
        return storedTotals(window)
                .flatMapSingle(totals -> sendReport(window, totals).toSingleDefault(true))
                .defaultIfEmpty(false);
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

    /** Returns the stored totals of the window, or sums and stores them once the window is closed. */
    private Maybe<Map<String, Long>> storedTotals(long window) {
        String key = windowKey(window);
        return store.read(Table.REPORT, key, key + '\0', 1)
                .flatMapMaybe(page -> page.rows().isEmpty()
                        ? sumCounts(window, "", new TreeMap<>(), new HashSet<>())
                                .flatMap(totals -> storeTotals(key, totals))
                        : Maybe.just(parseCounts(page.rows().get(0))));
    }

    private Maybe<Map<String, Long>> storeTotals(String key, Map<String, Long> totals) {
        ObjectNode value = Codec.json().mapper().createObjectNode();
        totals.forEach(value::put);
        return store.commit(RowTransaction.empty()
                        .withPrecondition(Table.REPORT, key, 0)
                        .withWrite(Table.REPORT, key, Buffer.buffer(value.toString())))
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
