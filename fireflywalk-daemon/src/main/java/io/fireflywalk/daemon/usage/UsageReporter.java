package io.fireflywalk.daemon.usage;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.usage.UsageReport;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.time.TimerService;
import io.fireflywalk.services.usage.UsageReportService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;
import org.jboss.logging.Logger;

/**
 * Reports the windows of the ranges whose lease this process holds: closes each window, freezes its figures, sends
 * them, and records that they were received. The lease is checked immediately before each send. Confined to one event
 * loop.
 */
public final class UsageReporter {
    private static final Logger LOG = Logger.getLogger(UsageReporter.class);
    /** Number of earlier ranges whose windows are still reported, for example after an outage of the report service. */
    private static final int LOOKBACK_RANGES = 48;

    private static final int SENT_PAGE_SIZE = 500;
    private static final int MAXIMUM_BACKOFF_RUNS = 16;

    private final TableService tables;
    private final UsageWindowCloser windowCloser;
    private final UsageReportService reports;
    private final ReportLease lease;
    private final TimerService timers;
    private final ReportLimits limits;
    private final Counter lateReports;
    private final Counter sendCounter;
    private final Map<Long, SentWindows> sentByRange = new HashMap<>();
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private int consecutiveFailures;
    private int runsToSkip;
    private long lastStoreFailureNanoseconds;

    public UsageReporter(
            TableService tables,
            UsageReportService reports,
            ReportLease lease,
            TimerService timers,
            ReportLimits limits,
            MetricRegistry metrics) {
        this.tables = tables;
        this.windowCloser = new UsageWindowCloser(tables, limits, metrics);
        this.reports = reports;
        this.lease = lease;
        this.timers = timers;
        this.limits = limits;
        this.lateReports = metrics.counter("usage_reports_late");
        this.lastStoreFailureNanoseconds = timers.monotonicNanoseconds();
        this.sendCounter = metrics.counter("usage_report_sends");
    }

    /** Starts the periodic runs. */
    public void start() {
        subscriptions.add(timers.every(limits.runPeriod())
                .observeOn(timers.scheduler())
                .concatMapCompletable(tick -> runWithBackoff())
                .subscribe());
    }

    /** Stops the runs and cancels a send in flight; the next lease holder repeats it with the same figures. */
    public void stop() {
        subscriptions.clear();
    }

    /** Closes, freezes and sends the windows that are due. */
    Completable run() {
        return Completable.defer(() -> {
            long now = timers.wallClockMilliseconds();
            long windowMilliseconds = limits.window().toMillis();
            long lastDue = Math.floorDiv(now - limits.grace().toMillis(), windowMilliseconds) - 1;
            List<Long> held = heldRanges(lastDue);
            sentByRange.keySet().retainAll(held);
            if (held.isEmpty()) {
                return Completable.complete();
            }
            // After an outage of the table service, instances must flush their backlog before windows are closed.
            boolean recovering = timers.monotonicNanoseconds() - lastStoreFailureNanoseconds
                    < 2 * limits.grace().toNanos();
            return windowCloser
                    .closeThrough(recovering ? Long.MIN_VALUE : lastDue)
                    .doOnError(cause -> lastStoreFailureNanoseconds = timers.monotonicNanoseconds())
                    .observeOn(timers.scheduler())
                    .flatMapCompletable(closed -> closed.isEmpty()
                            ? Completable.complete()
                            : Observable.fromIterable(held)
                                    .concatMapCompletable(range -> reportRange(range, closed.get())));
        });
    }

    private Completable runWithBackoff() {
        if (runsToSkip > 0) {
            runsToSkip--;
            return Completable.complete();
        }
        return run().doOnComplete(() -> consecutiveFailures = 0).onErrorComplete(cause -> {
            consecutiveFailures++;
            runsToSkip = Math.min(MAXIMUM_BACKOFF_RUNS, 1 << Math.min(consecutiveFailures, 8)) - 1;
            LOG.warnf("event=usage_report_failed failures=%d cause=\"%s\"", consecutiveFailures, cause.getMessage());
            return true;
        });
    }

    private List<Long> heldRanges(long lastDue) {
        List<Long> held = new ArrayList<>();
        long lastRange = limits.rangeOf(lastDue);
        for (long range = lastRange - LOOKBACK_RANGES; range <= lastRange; range++) {
            if (lease.currentToken(range).isPresent()) {
                held.add(range);
            }
        }
        return held;
    }

    private Completable reportRange(long range, UsageTables.ClosedRange closed) {
        long firstOfRange = range * limits.windowsPerRange();
        long first = Math.max(closed.first(), firstOfRange);
        long last = Math.min(closed.last(), firstOfRange + limits.windowsPerRange() - 1);
        if (first > last) {
            return Completable.complete();
        }
        return loadSentWindows(range).flatMapCompletable(sentWindows -> {
            List<Long> missing = new ArrayList<>();
            for (long window = first; window <= last; window++) {
                if (!sentWindows.windows().contains(window)) {
                    missing.add(window);
                }
            }
            return Observable.fromIterable(missing).concatMapCompletable(window -> report(range, window, sentWindows));
        });
    }

    private Completable report(long range, long window, SentWindows sentWindows) {
        return windowCloser
                .freeze(window)
                .observeOn(timers.scheduler())
                .flatMapCompletable(frozen -> send(range, frozen))
                .andThen(Completable.defer(() -> recordSent(range, window)))
                .observeOn(timers.scheduler())
                .doOnComplete(() -> sentWindows.windows().add(window));
    }

    private Completable send(long range, UsageReport frozen) {
        OptionalLong token = lease.currentToken(range);
        if (token.isEmpty()) {
            return Completable.error(new FireflywalkException(
                    ErrorKind.AUTHORITY_LOST, "the report lease is no longer held", "report range " + range));
        }
        sendCounter.inc();
        return reports.submit(frozen, token.getAsLong())
                .observeOn(timers.scheduler())
                .doOnComplete(() -> onReceived(frozen));
    }

    private void onReceived(UsageReport frozen) {
        long end = (frozen.window() + 1) * limits.window().toMillis();
        Duration reportDelay = Duration.ofMillis(timers.wallClockMilliseconds() - end);
        if (reportDelay.compareTo(limits.deadline()) > 0) {
            lateReports.inc();
        }
        LOG.infof(
                "event=usage_reported window=%d figures=%d corrections=%d delay_ms=%d",
                frozen.window(), frozen.figures().size(), frozen.corrections().size(), reportDelay.toMillis());
    }

    private Completable recordSent(long range, long window) {
        String key = UsageTables.sentKey(range, window);
        Transaction transaction = Transaction.builder(UUID.randomUUID().toString())
                .expect(UsageTables.REPORT_TABLE, key, 0)
                .put(UsageTables.REPORT_TABLE, key, Long.toString(timers.wallClockMilliseconds()))
                .build();
        // A conflict means that the window is already recorded as sent.
        return tables.execute(transaction).ignoreElement();
    }

    private Single<SentWindows> loadSentWindows(long range) {
        // Under a new token, reload the rows: another holder may have reported windows in the meantime.
        long token = lease.currentToken(range).orElse(-1);
        SentWindows cached = sentByRange.get(range);
        if (cached != null && cached.token() == token) {
            return Single.just(cached);
        }
        return tables.scan(UsageTables.REPORT_TABLE, UsageTables.sentPrefix(range), "", SENT_PAGE_SIZE)
                .observeOn(timers.scheduler())
                .map(rows -> {
                    SentWindows loaded = new SentWindows(token, new HashSet<>());
                    for (Row row : rows) {
                        String number = row.key().substring(row.key().lastIndexOf('/') + 1);
                        loaded.windows().add(Long.parseLong(number));
                    }
                    sentByRange.put(range, loaded);
                    return loaded;
                });
    }

    private record SentWindows(long token, Set<Long> windows) {}
}
