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
 * Reports the windows of the ranges for which this process holds the lease: closes a window, freezes its figures, sends
 * them, and notes that they were received. The authority is asked immediately before each send. Confined to one event
 * loop.
 */
public final class UsageReporter {
    private static final Logger LOG = Logger.getLogger(UsageReporter.class);
    /** After an outage of the report interface, windows this far back are still reported. */
    private static final int RANGES_LOOKED_BACK = 48;

    private static final int SENT_PER_READ = 500;
    private static final int MAXIMUM_BACKOFF_RUNS = 16;

    private final TableService tables;
    private final UsageFreezer freezer;
    private final UsageReportService reports;
    private final ReportAuthority authority;
    private final TimerService timers;
    private final ReportLimits limits;
    private final Counter late;
    private final Counter sends;
    private final Map<Long, SentWindows> sent = new HashMap<>();
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private int failures;
    private int runsToSkip;
    private long lastFailureNanoseconds;

    public UsageReporter(
            TableService tables,
            UsageReportService reports,
            ReportAuthority authority,
            TimerService timers,
            ReportLimits limits,
            MetricRegistry metrics) {
        this.tables = tables;
        this.freezer = new UsageFreezer(tables, limits, metrics);
        this.reports = reports;
        this.authority = authority;
        this.timers = timers;
        this.limits = limits;
        this.late = metrics.counter("usage_reports_late");
        this.lastFailureNanoseconds = timers.monotonicNanoseconds();
        this.sends = metrics.counter("usage_report_sends");
    }

    /** Starts to report. */
    public void start() {
        subscriptions.add(timers.every(limits.period())
                .observeOn(timers.scheduler())
                .concatMapCompletable(tick -> runWithBackoff())
                .subscribe());
    }

    /** Stops; a send in flight is cancelled, and its window is sent again by the next holder with the same figures. */
    public void stop() {
        subscriptions.clear();
    }

    /** Closes, freezes and sends what is due. */
    Completable run() {
        return Completable.defer(() -> {
            long now = timers.wallClockMilliseconds();
            long length = limits.window().toMillis();
            long lastDue = Math.floorDiv(now - limits.grace().toMillis(), length) - 1;
            List<Long> held = heldRanges(lastDue);
            sent.keySet().retainAll(held);
            if (held.isEmpty()) {
                return Completable.complete();
            }
            // Instances flush their backlog after an outage of the table service before its windows are closed.
            boolean recovering = timers.monotonicNanoseconds() - lastFailureNanoseconds
                    < 2 * limits.grace().toNanos();
            return freezer.closeThrough(recovering ? Long.MIN_VALUE : lastDue)
                    .doOnError(cause -> lastFailureNanoseconds = timers.monotonicNanoseconds())
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
        return run().doOnComplete(() -> failures = 0).onErrorComplete(cause -> {
            failures++;
            runsToSkip = Math.min(MAXIMUM_BACKOFF_RUNS, 1 << Math.min(failures, 8)) - 1;
            LOG.warnf("event=usage_report_failed failures=%d cause=\"%s\"", failures, cause.getMessage());
            return true;
        });
    }

    private List<Long> heldRanges(long lastDue) {
        List<Long> held = new ArrayList<>();
        long lastRange = limits.rangeOf(lastDue);
        for (long range = lastRange - RANGES_LOOKED_BACK; range <= lastRange; range++) {
            if (authority.maySendNow(range).isPresent()) {
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
        return sentOf(range).flatMapCompletable(done -> {
            List<Long> missing = new ArrayList<>();
            for (long window = first; window <= last; window++) {
                if (!done.windows().contains(window)) {
                    missing.add(window);
                }
            }
            return Observable.fromIterable(missing).concatMapCompletable(window -> report(range, window, done));
        });
    }

    private Completable report(long range, long window, SentWindows done) {
        return freezer.freeze(window)
                .observeOn(timers.scheduler())
                .flatMapCompletable(frozen -> send(range, frozen))
                .andThen(Completable.defer(() -> noteSent(range, window)))
                .observeOn(timers.scheduler())
                .doOnComplete(() -> done.windows().add(window));
    }

    private Completable send(long range, UsageReport frozen) {
        OptionalLong token = authority.maySendNow(range);
        if (token.isEmpty()) {
            return Completable.error(
                    new FireflywalkException(ErrorKind.AUTHORITY_LOST, "the lease ended", "report range " + range));
        }
        sends.inc();
        return reports.submit(frozen, token.getAsLong())
                .observeOn(timers.scheduler())
                .doOnComplete(() -> received(frozen));
    }

    private void received(UsageReport frozen) {
        long end = (frozen.window() + 1) * limits.window().toMillis();
        Duration delay = Duration.ofMillis(timers.wallClockMilliseconds() - end);
        if (delay.compareTo(limits.deadline()) > 0) {
            late.inc();
        }
        LOG.infof(
                "event=usage_reported window=%d figures=%d corrections=%d delay_ms=%d",
                frozen.window(), frozen.figures().size(), frozen.corrections().size(), delay.toMillis());
    }

    private Completable noteSent(long range, long window) {
        String key = UsageTables.sent(range, window);
        Transaction transaction = Transaction.builder(UUID.randomUUID().toString())
                .expect(UsageTables.REPORTS, key, 0)
                .put(UsageTables.REPORTS, key, Long.toString(timers.wallClockMilliseconds()))
                .build();
        // A conflict means that the window is already noted.
        return tables.execute(transaction).ignoreElement();
    }

    private Single<SentWindows> sentOf(long range) {
        // Another holder may have reported under a token in between, so a new token starts from the table.
        long token = authority.maySendNow(range).orElse(-1);
        SentWindows known = sent.get(range);
        if (known != null && known.token() == token) {
            return Single.just(known);
        }
        return tables.scan(UsageTables.REPORTS, UsageTables.sentPrefix(range), "", SENT_PER_READ)
                .observeOn(timers.scheduler())
                .map(rows -> {
                    SentWindows read = new SentWindows(token, new HashSet<>());
                    for (Row row : rows) {
                        String number = row.key().substring(row.key().lastIndexOf('/') + 1);
                        read.windows().add(Long.parseLong(number));
                    }
                    sent.put(range, read);
                    return read;
                });
    }

    private record SentWindows(long token, Set<Long> windows) {}
}
