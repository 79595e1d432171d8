package io.fireflywalk.daemon.usage;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.usage.UsageRow;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.RowCondition;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;

/**
 * Writes usage rows to the table service in segments, on the condition that the window of each segment is open. Rows of
 * a closed window are stored in an open one, whose report lists them as corrections. Rows are cumulative, so a write of
 * unknown outcome can be repeated safely. Confined to one event loop.
 */
public final class UsageWriter {
    private static final int MAXIMUM_ROWS_PER_SEGMENT = 512;
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final int MAXIMUM_KNOWN_CLOSED_WINDOWS = 4096;

    private final TableService tables;
    private final TimerService timers;
    private final String incarnation;
    private final long windowMilliseconds;
    private final Counter transactions;
    private final Counter segments;
    private final TreeSet<Long> knownClosedWindows = new TreeSet<>();
    private long nextSegmentNumber;

    public UsageWriter(
            TableService tables,
            TimerService timers,
            String incarnation,
            long windowMilliseconds,
            MetricRegistry metrics) {
        this.tables = tables;
        this.timers = timers;
        this.incarnation = incarnation;
        this.windowMilliseconds = windowMilliseconds;
        this.transactions = metrics.counter("usage_flush_transactions");
        this.segments = metrics.counter("usage_flush_segments");
    }

    /** Writes the rows; completes when the table service has all of them. */
    public Completable write(List<UsageRow> rows) {
        return rows.isEmpty() ? Completable.complete() : write(rows, 1);
    }

    /** Decodes the usage rows of a segment. */
    public static List<UsageRow> rowsOf(Row segment) throws FireflywalkException {
        return Codec.json()
                .read(segment.value(), UsageTables.Segment.class, segment.key())
                .rows();
    }

    private Completable write(List<UsageRow> rows, int attempt) {
        return Completable.defer(() -> {
            transactions.inc();
            return tables.execute(transaction(rows))
                    .observeOn(timers.scheduler())
                    .flatMapCompletable(result -> retryIfConflicting(result, rows, attempt));
        });
    }

    private Completable retryIfConflicting(TransactionResult result, List<UsageRow> rows, int attempt) {
        if (result.committed()) {
            return Completable.complete();
        }
        for (RowCondition failed : result.failedConditions()) {
            if (failed.table().equals(UsageTables.REPORT_TABLE)) {
                knownClosedWindows.add(
                        Long.parseLong(failed.key().substring(failed.key().indexOf('/') + 1)));
            }
        }
        while (knownClosedWindows.size() > MAXIMUM_KNOWN_CLOSED_WINDOWS) {
            knownClosedWindows.pollFirst();
        }
        return attempt < MAXIMUM_ATTEMPTS
                ? write(rows, attempt + 1)
                : Completable.error(new FireflywalkException(
                        ErrorKind.STORE_UNAVAILABLE,
                        "windows were closed during every attempt to flush",
                        "usage flush"));
    }

    private Transaction transaction(List<UsageRow> rows) {
        Map<Long, Map<String, List<UsageRow>>> byWindow = new TreeMap<>();
        for (UsageRow row : rows) {
            byWindow.computeIfAbsent(openWindowFor(row.key().window()), window -> new TreeMap<>())
                    .computeIfAbsent(row.key().incarnation(), owner -> new ArrayList<>())
                    .add(row);
        }
        Transaction.Builder builder = Transaction.builder(UUID.randomUUID().toString());
        byWindow.forEach((window, byOwner) -> {
            builder.expect(UsageTables.REPORT_TABLE, UsageTables.closedKey(window), 0);
            byOwner.forEach((owner, ownerRows) -> {
                for (int from = 0; from < ownerRows.size(); from += MAXIMUM_ROWS_PER_SEGMENT) {
                    List<UsageRow> segmentRows =
                            ownerRows.subList(from, Math.min(ownerRows.size(), from + MAXIMUM_ROWS_PER_SEGMENT));
                    String key = UsageTables.ownerPrefix(window, owner) + incarnation + "-"
                            + UsageTables.sortableNumber(nextSegmentNumber++);
                    builder.put(UsageTables.USAGE_TABLE, key, Codec.json().write(new UsageTables.Segment(segmentRows)));
                    segments.inc();
                }
            });
        });
        return builder.build();
    }

    private long openWindowFor(long window) {
        if (!knownClosedWindows.contains(window)) {
            return window;
        }
        long open = Math.max(window, timers.wallClockMilliseconds() / windowMilliseconds);
        while (knownClosedWindows.contains(open)) {
            open++;
        }
        return open;
    }
}
