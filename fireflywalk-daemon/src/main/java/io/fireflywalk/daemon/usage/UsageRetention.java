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
 * Removes the flushed rows of reported windows that no correction can refer to any more. Runs where the reporter of the
 * newest range runs, one small transaction a period. Confined to one event loop.
 */
public final class UsageRetention {
    private static final Logger LOG = Logger.getLogger(UsageRetention.class);
    private static final int ROWS_PER_TRANSACTION = 64;

    private final TableService tables;
    private final ReportAuthority authority;
    private final TimerService timers;
    private final ReportLimits limits;
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    public UsageRetention(TableService tables, ReportAuthority authority, TimerService timers, ReportLimits limits) {
        this.tables = tables;
        this.authority = authority;
        this.timers = timers;
        this.limits = limits;
    }

    /** Starts to remove rows. */
    public void start() {
        subscriptions.add(timers.every(limits.period())
                .observeOn(timers.scheduler())
                .concatMapCompletable(tick -> run().onErrorComplete(cause -> {
                    LOG.warnf("event=usage_retention_failed cause=\"%s\"", cause.getMessage());
                    return true;
                }))
                .subscribe());
    }

    /** Stops. */
    public void stop() {
        subscriptions.clear();
    }

    /** Removes at most one transaction's rows of the oldest window, if it is reported and old enough. */
    Completable run() {
        return Completable.defer(() -> {
            long now = timers.wallClockMilliseconds() / limits.window().toMillis();
            if (authority.maySendNow(limits.rangeOf(now)).isEmpty()) {
                return Completable.complete();
            }
            return tables.scan(UsageTables.USAGE, "", "", 1).flatMapCompletable(rows -> removeOldest(rows, now));
        });
    }

    private Completable removeOldest(List<Row> rows, long now) {
        if (rows.isEmpty()) {
            return Completable.complete();
        }
        long oldest = UsageTables.windowOf(rows.get(0).key());
        if (oldest >= now - limits.correctionWindows() - 1) {
            return Completable.complete();
        }
        // A window's rows are the base of corrections in the windows after it, so all of those must be reported, and
        // instances that were cut off until then must have had time to flush.
        String before = UsageTables.sent(limits.rangeOf(oldest - 1), oldest - 1);
        int needed = limits.correctionWindows() + 1;
        return tables.scan(UsageTables.REPORTS, UsageTables.SENT, before, needed)
                .flatMapCompletable(sent -> {
                    long lastWindow = oldest + needed - 1;
                    String last = UsageTables.sent(limits.rangeOf(lastWindow), lastWindow);
                    boolean complete =
                            sent.size() == needed && sent.get(needed - 1).key().equals(last);
                    long correctionTime = limits.window().toMillis() * limits.correctionWindows();
                    return complete
                                    && timers.wallClockMilliseconds()
                                                    - Long.parseLong(
                                                            sent.get(needed - 1).value())
                                            > correctionTime
                            ? noteRemoval(oldest).andThen(Completable.defer(() -> removeRowsOf(oldest)))
                            : Completable.complete();
                });
    }

    private Completable noteRemoval(long window) {
        return tables.read(UsageTables.REPORTS, UsageTables.REMOVED_THROUGH).flatMapCompletable(row -> {
            if (row.isPresent() && Long.parseLong(row.get().value()) >= window) {
                return Completable.complete();
            }
            Transaction transaction = Transaction.builder(UUID.randomUUID().toString())
                    .expect(
                            UsageTables.REPORTS,
                            UsageTables.REMOVED_THROUGH,
                            row.map(Row::version).orElse(0L))
                    .put(UsageTables.REPORTS, UsageTables.REMOVED_THROUGH, Long.toString(window))
                    .build();
            return tables.execute(transaction)
                    .flatMapCompletable(result -> result.committed()
                            ? Completable.complete()
                            : Completable.error(new FireflywalkException(
                                    ErrorKind.VERSION_CONFLICT, "another process removes rows", "usage retention")));
        });
    }

    private Completable removeRowsOf(long window) {
        return tables.scan(UsageTables.USAGE, UsageTables.windowPrefix(window), "", ROWS_PER_TRANSACTION)
                .flatMapCompletable(rows -> remove(rows, window));
    }

    private Completable remove(List<Row> rows, long oldest) {
        Transaction.Builder builder = Transaction.builder(UUID.randomUUID().toString());
        rows.stream()
                .filter(row -> UsageTables.windowOf(row.key()) == oldest)
                .forEach(row -> builder.remove(UsageTables.USAGE, row.key()));
        return tables.execute(builder.build()).ignoreElement();
    }
}
