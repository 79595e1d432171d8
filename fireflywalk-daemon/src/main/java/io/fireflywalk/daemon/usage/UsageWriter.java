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
 * Writes usage rows to the table service in segments, each on the condition that its window is open. Rows of a closed
 * window go into the current window, where the report marks them as corrections. Rows are cumulative, so a write may
 * be repeated after an unknown outcome. Confined to one event loop.
 */
public final class UsageWriter {
    private static final int ROWS_PER_SEGMENT = 512;
    private static final int MAXIMUM_ROUNDS = 4;
    private static final int REMEMBERED_CLOSED_WINDOWS = 4096;

    private final TableService tables;
    private final TimerService timers;
    private final String incarnation;
    private final long windowMilliseconds;
    private final Counter transactions;
    private final Counter segments;
    private final TreeSet<Long> closedWindows = new TreeSet<>();
    private long segmentNumber;

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

    /** Writes the rows; completes when the table service holds all of them. */
    public Completable write(List<UsageRow> rows) {
        return rows.isEmpty() ? Completable.complete() : write(rows, 1);
    }

    /** Returns the usage rows of a row of the table. */
    public static List<UsageRow> rowsOf(Row segment) throws FireflywalkException {
        return Codec.json()
                .read(segment.value(), UsageTables.Segment.class, segment.key())
                .rows();
    }

    private Completable write(List<UsageRow> rows, int round) {
        return Completable.defer(() -> {
            transactions.inc();
            return tables.execute(transaction(rows))
                    .observeOn(timers.scheduler())
                    .flatMapCompletable(result -> resolve(result, rows, round));
        });
    }

    private Completable resolve(TransactionResult result, List<UsageRow> rows, int round) {
        if (result.committed()) {
            return Completable.complete();
        }
        for (RowCondition failed : result.failedConditions()) {
            if (failed.table().equals(UsageTables.REPORTS)) {
                closedWindows.add(
                        Long.parseLong(failed.key().substring(failed.key().indexOf('/') + 1)));
            }
        }
        while (closedWindows.size() > REMEMBERED_CLOSED_WINDOWS) {
            closedWindows.pollFirst();
        }
        return round < MAXIMUM_ROUNDS
                ? write(rows, round + 1)
                : Completable.error(new FireflywalkException(
                        ErrorKind.STORE_UNAVAILABLE, "windows closed during the flush", "usage flush"));
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
            builder.expect(UsageTables.REPORTS, UsageTables.closed(window), 0);
            byOwner.forEach((owner, owned) -> {
                for (int from = 0; from < owned.size(); from += ROWS_PER_SEGMENT) {
                    List<UsageRow> part = owned.subList(from, Math.min(owned.size(), from + ROWS_PER_SEGMENT));
                    String key = UsageTables.ownerPrefix(window, owner) + incarnation + "-"
                            + UsageTables.number(segmentNumber++);
                    builder.put(UsageTables.USAGE, key, Codec.json().write(new UsageTables.Segment(part)));
                    segments.inc();
                }
            });
        });
        return builder.build();
    }

    private long openWindowFor(long window) {
        if (!closedWindows.contains(window)) {
            return window;
        }
        long open = Math.max(window, timers.wallClockMilliseconds() / windowMilliseconds);
        while (closedWindows.contains(open)) {
            open++;
        }
        return open;
    }
}
