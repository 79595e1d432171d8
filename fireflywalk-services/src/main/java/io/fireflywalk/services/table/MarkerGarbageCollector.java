package io.fireflywalk.services.table;

import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;

/**
 * Garbage-collects marker rows after a retention period. The age of a row is the time since this collector first saw it
 * on its own monotonic clock, so rows need no timestamps. The retention must exceed the longest time for which the
 * platform may still execute a request whose sender has timed out: if its marker were removed earlier, a delayed
 * transaction could take effect a second time. The caller schedules the sweeps. Confined to one event loop.
 */
public final class MarkerGarbageCollector {
    private static final int SCAN_PAGE_ROWS = 500;
    private static final int ROWS_PER_TRANSACTION = 250;

    private final TableService tables;
    private final TimerService timers;
    private final Duration retention;
    private final int maximumTrackedRows;
    private final Map<String, Long> firstSeenNanoseconds = new LinkedHashMap<>();

    public MarkerGarbageCollector(
            TableService tables, TimerService timers, Duration retention, int maximumTrackedRows) {
        this.tables = tables;
        this.timers = timers;
        this.retention = retention;
        this.maximumTrackedRows = maximumTrackedRows;
    }

    /** Scans the markers once and emits the number of expired ones removed. Rows beyond the bound wait for later sweeps. */
    public Single<Integer> sweep() {
        return scan("", new HashSet<>()).flatMap(present -> {
            firstSeenNanoseconds.keySet().retainAll(present);
            List<String> expired = new ArrayList<>();
            long now = timers.monotonicNanoseconds();
            firstSeenNanoseconds.forEach((key, seen) -> {
                if (now - seen >= retention.toNanos()) {
                    expired.add(key);
                }
            });
            return remove(expired).toSingleDefault(expired.size());
        });
    }

    /** Returns the number of rows whose age is tracked. */
    public int trackedRowCount() {
        return firstSeenNanoseconds.size();
    }

    private Single<Set<String>> scan(String after, Set<String> present) {
        return tables.scan(TransactionMarker.TABLE, "", after, SCAN_PAGE_ROWS)
                .observeOn(timers.scheduler())
                .flatMap(rows -> {
                    long now = timers.monotonicNanoseconds();
                    for (Row row : rows) {
                        if (firstSeenNanoseconds.containsKey(row.key())
                                || firstSeenNanoseconds.size() < maximumTrackedRows) {
                            firstSeenNanoseconds.putIfAbsent(row.key(), now);
                            present.add(row.key());
                        }
                    }
                    boolean more = rows.size() == SCAN_PAGE_ROWS && present.size() < maximumTrackedRows;
                    return more ? scan(rows.get(rows.size() - 1).key(), present) : Single.just(present);
                });
    }

    private Completable remove(List<String> keys) {
        List<Completable> transactions = new ArrayList<>();
        for (int start = 0; start < keys.size(); start += ROWS_PER_TRANSACTION) {
            List<String> batch = keys.subList(start, Math.min(keys.size(), start + ROWS_PER_TRANSACTION));
            Transaction.Builder removal = Transaction.builder(UUID.randomUUID().toString());
            batch.forEach(key -> removal.remove(TransactionMarker.TABLE, key));
            transactions.add(tables.execute(removal.build())
                    .observeOn(timers.scheduler())
                    .doOnSuccess(result -> batch.forEach(firstSeenNanoseconds::remove))
                    .ignoreElement());
        }
        return Completable.concat(transactions);
    }
}
