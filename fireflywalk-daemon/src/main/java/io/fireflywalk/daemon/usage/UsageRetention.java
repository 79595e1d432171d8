package io.fireflywalk.daemon.usage;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.List;
import java.util.UUID;
import org.jboss.logging.Logger;

/**
 * Removes the stored rows of reported windows that corrections can no longer refer to. Runs on the instance that holds
 * the report lease of the current range, with at most one small removal transaction per run. Confined to one event
 * loop.
 */
public final class UsageRetention {
    private static final Logger LOG = Logger.getLogger(UsageRetention.class);
    private static final int MAXIMUM_REMOVALS_PER_TRANSACTION = 64;

    private final TableService tables;
    private final ReportLease lease;
    private final TimerService timers;
    private final ReportLimits limits;
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    public UsageRetention(TableService tables, ReportLease lease, TimerService timers, ReportLimits limits) {
        this.tables = tables;
        this.lease = lease;
        this.timers = timers;
        this.limits = limits;
    }

    /** Starts the periodic runs. */
    public void start() {
        subscriptions.add(timers.every(limits.runPeriod())
                .observeOn(timers.scheduler())
                .concatMapCompletable(tick -> run().onErrorComplete(cause -> {
                    LOG.warnf("event=usage_retention_failed cause=\"%s\"", cause.getMessage());
                    return true;
                }))
                .subscribe());
    }

    public void stop() {
        subscriptions.clear();
    }

    /** Removes one batch of rows of the oldest window, if that window is reported and old enough. */
    Completable run() {
        return Completable.defer(() -> {
            long currentWindow =
                    timers.wallClockMilliseconds() / limits.window().toMillis();
            if (lease.currentToken(limits.rangeOf(currentWindow)).isEmpty()) {
                return Completable.complete();
            }
            return tables.scan(UsageTables.USAGE_TABLE, "", "", 1)
                    .flatMapCompletable(rows -> removeOldest(rows, currentWindow));
        });
    }

    private Completable removeOldest(List<Row> rows, long currentWindow) {
        if (rows.isEmpty()) {
            return Completable.complete();
        }
        long oldestWindow = UsageTables.windowOf(rows.get(0).key());
        if (oldestWindow >= currentWindow - limits.correctionWindows() - 1) {
            return Completable.complete();
        }
        // Corrections in the following windows are computed from these rows, so those windows must be reported, and
        // instances that were isolated until then must have had time to flush.
        String precedingKey = UsageTables.sentKey(limits.rangeOf(oldestWindow - 1), oldestWindow - 1);
        int requiredReports = limits.correctionWindows() + 1;
        return tables.scan(UsageTables.REPORT_TABLE, UsageTables.SENT_PREFIX, precedingKey, requiredReports)
                .flatMapCompletable(reported -> {
                    long lastWindow = oldestWindow + requiredReports - 1;
                    String lastKey = UsageTables.sentKey(limits.rangeOf(lastWindow), lastWindow);
                    boolean allReported = reported.size() == requiredReports
                            && reported.get(requiredReports - 1).key().equals(lastKey);
                    long correctionMilliseconds = limits.window().toMillis() * limits.correctionWindows();
                    return allReported
                                    && timers.wallClockMilliseconds()
                                                    - Long.parseLong(reported.get(requiredReports - 1)
                                                            .value())
                                            > correctionMilliseconds
                            ? recordRemoval(oldestWindow).andThen(Completable.defer(() -> removeRowsOf(oldestWindow)))
                            : Completable.complete();
                });
    }

    private Completable recordRemoval(long window) {
        return tables.read(UsageTables.REPORT_TABLE, UsageTables.REMOVED_THROUGH_KEY)
                .flatMapCompletable(row -> {
                    if (row.isPresent() && Long.parseLong(row.get().value()) >= window) {
                        return Completable.complete();
                    }
                    Transaction transaction = Transaction.builder(
                                    UUID.randomUUID().toString())
                            .expect(
                                    UsageTables.REPORT_TABLE,
                                    UsageTables.REMOVED_THROUGH_KEY,
                                    row.map(Row::version).orElse(0L))
                            .put(UsageTables.REPORT_TABLE, UsageTables.REMOVED_THROUGH_KEY, Long.toString(window))
                            .build();
                    return tables.execute(transaction)
                            .flatMapCompletable(result -> result.committed()
                                    ? Completable.complete()
                                    : Completable.error(new FireflywalkException(
                                            ErrorKind.VERSION_CONFLICT,
                                            "another process updated the removal row",
                                            "usage retention")));
                });
    }

    private Completable removeRowsOf(long window) {
        return tables.scan(
                        UsageTables.USAGE_TABLE, UsageTables.windowPrefix(window), "", MAXIMUM_REMOVALS_PER_TRANSACTION)
                .flatMapCompletable(rows -> removeRows(rows, window));
    }

    private Completable removeRows(List<Row> rows, long oldestWindow) {
        Transaction.Builder builder = Transaction.builder(UUID.randomUUID().toString());
        rows.stream()
                .filter(row -> UsageTables.windowOf(row.key()) == oldestWindow)
                .forEach(row -> builder.remove(UsageTables.USAGE_TABLE, row.key()));
        return tables.execute(builder.build()).ignoreElement();
    }
}
