package io.fireflywalk.daemon.usage;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.usage.UsageFigure;
import io.fireflywalk.core.usage.UsageReport;
import io.fireflywalk.core.usage.UsageReportBuilder;
import io.fireflywalk.core.usage.UsageRow;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * Closes windows and freezes their figures, which means that they are stored and never change. A closed window accepts
 * no more segments, so all processes compute the same figures. The first transaction that stores figures wins, and only
 * stored figures are returned. Stateless except for its metric.
 */
public final class UsageWindowCloser {
    private static final int SEGMENTS_PAGE_SIZE = 16;
    private static final int MAXIMUM_FIGURES_PER_PART = 500;
    private static final int MAXIMUM_WINDOWS_PER_RUN = 128;
    /**
     * Number of windows before the oldest stored one at which the closed range starts, so that the windows of an
     * instance with a slow clock are still open.
     */
    private static final int FIRST_WINDOW_MARGIN = 2;

    private final TableService tables;
    private final ReportLimits limits;
    private final Counter tooLateCounter;

    public UsageWindowCloser(TableService tables, ReportLimits limits, MetricRegistry metrics) {
        this.tables = tables;
        this.limits = limits;
        this.tooLateCounter = metrics.counter("usage_answers_too_late");
    }

    /** Closes windows in order through the last due one, and emits the closed range, or empty if none is closed. */
    Single<Optional<UsageTables.ClosedRange>> closeThrough(long lastDue) {
        return closeThrough(lastDue, MAXIMUM_WINDOWS_PER_RUN);
    }

    /** Emits the frozen figures of a closed window, freezing them first if no process has done so. */
    Single<UsageReport> freeze(long window) {
        return readFrozen(window)
                .flatMap(frozen -> frozen.isPresent()
                        ? Single.just(frozen.get())
                        : computeFigures(window)
                                .flatMap(report -> tables.execute(freezeTransaction(report)))
                                // Another process may have stored the figures first.
                                .flatMap(result -> readFrozen(window))
                                .flatMap(stored -> stored.map(Single::just)
                                        .orElseGet(() -> Single.error(new FireflywalkException(
                                                ErrorKind.STORE_UNAVAILABLE,
                                                "the figures of the window were not stored",
                                                "freeze")))));
    }

    private Single<Optional<UsageTables.ClosedRange>> closeThrough(long lastDue, int windowsLeft) {
        return tables.read(UsageTables.REPORT_TABLE, UsageTables.CLOSED_RANGE_KEY)
                .flatMap(row -> {
                    Optional<UsageTables.ClosedRange> range = Optional.empty();
                    if (row.isPresent()) {
                        range = Optional.of(
                                Codec.json().read(row.get().value(), UsageTables.ClosedRange.class, "closed"));
                    }
                    if (windowsLeft == 0 || (range.isPresent() && range.get().last() >= lastDue)) {
                        return Single.just(range);
                    }
                    long version = row.map(Row::version).orElse(0L);
                    return nextRange(range, lastDue)
                            .flatMap(next -> next.last() > lastDue
                                    ? Single.just(Optional.<UsageTables.ClosedRange>empty())
                                    : tables.execute(closeTransaction(next, version))
                                            .flatMap(result -> closeThrough(lastDue, windowsLeft - 1)));
                });
    }

    private Single<UsageTables.ClosedRange> nextRange(Optional<UsageTables.ClosedRange> range, long lastDue) {
        if (range.isPresent()) {
            return Single.just(
                    new UsageTables.ClosedRange(range.get().first(), range.get().last() + 1));
        }
        return tables.scan(UsageTables.USAGE_TABLE, "", "", 1).map(rows -> {
            long oldest = rows.isEmpty()
                    ? lastDue
                    : Math.min(lastDue, UsageTables.windowOf(rows.get(0).key()));
            long first = oldest - FIRST_WINDOW_MARGIN;
            return new UsageTables.ClosedRange(first, first);
        });
    }

    private static Transaction closeTransaction(UsageTables.ClosedRange next, long version) {
        return Transaction.builder(UUID.randomUUID().toString())
                .expect(UsageTables.REPORT_TABLE, UsageTables.CLOSED_RANGE_KEY, version)
                .expect(UsageTables.REPORT_TABLE, UsageTables.closedKey(next.last()), 0)
                .put(
                        UsageTables.REPORT_TABLE,
                        UsageTables.CLOSED_RANGE_KEY,
                        Codec.json().write(next))
                .put(UsageTables.REPORT_TABLE, UsageTables.closedKey(next.last()), "closed")
                .build();
    }

    private Single<UsageReport> computeFigures(long window) {
        UsageReportBuilder builder = new UsageReportBuilder(window);
        return forEachRow(UsageTables.windowPrefix(window), "", builder::add)
                .andThen(Completable.defer(() -> addEarlierRows(builder, window)))
                // Must be read after the rows of earlier windows, so that a removal during that read is noticed.
                .andThen(Single.defer(() -> tables.read(UsageTables.REPORT_TABLE, UsageTables.REMOVED_THROUGH_KEY)))
                .map(removed -> {
                    builder.excludeThrough(
                            removed.map(row -> Long.parseLong(row.value())).orElse(Long.MIN_VALUE));
                    tooLateCounter.inc(builder.excludedResponses());
                    return builder.build(limits.window().toMillis());
                });
    }

    private Completable addEarlierRows(UsageReportBuilder builder, long window) {
        List<String> prefixes = new ArrayList<>();
        for (Map.Entry<String, Long> late : builder.lateIncarnations().entrySet()) {
            for (long earlier = late.getValue(); earlier < window; earlier++) {
                prefixes.add(UsageTables.ownerPrefix(earlier, late.getKey()));
            }
        }
        return Observable.fromIterable(prefixes)
                .concatMapCompletable(prefix -> forEachRow(prefix, "", builder::addCountedEarlier));
    }

    private Completable forEachRow(String prefix, String after, Consumer<UsageRow> action) {
        return tables.scan(UsageTables.USAGE_TABLE, prefix, after, SEGMENTS_PAGE_SIZE)
                .flatMapCompletable(rows -> {
                    for (Row row : rows) {
                        UsageWriter.rowsOf(row).forEach(action);
                    }
                    return rows.size() < SEGMENTS_PAGE_SIZE
                            ? Completable.complete()
                            : forEachRow(prefix, rows.get(rows.size() - 1).key(), action);
                });
    }

    private static Transaction freezeTransaction(UsageReport report) {
        List<UsageTables.FiguresPart> parts = new ArrayList<>();
        for (List<UsageFigure> part : split(report.figures())) {
            parts.add(new UsageTables.FiguresPart(part, List.of()));
        }
        for (List<UsageFigure> part : split(report.corrections())) {
            parts.add(new UsageTables.FiguresPart(List.of(), part));
        }
        Transaction.Builder builder = Transaction.builder(UUID.randomUUID().toString())
                .expect(UsageTables.REPORT_TABLE, UsageTables.figuresKey(report.window()), 0)
                .put(
                        UsageTables.REPORT_TABLE,
                        UsageTables.figuresKey(report.window()),
                        Codec.json().write(new UsageTables.FiguresHead(report.windowMilliseconds(), parts.size())));
        for (int i = 0; i < parts.size(); i++) {
            builder.put(
                    UsageTables.REPORT_TABLE,
                    UsageTables.figuresPartKey(report.window(), i),
                    Codec.json().write(parts.get(i)));
        }
        return builder.build();
    }

    private Single<Optional<UsageReport>> readFrozen(long window) {
        return tables.read(UsageTables.REPORT_TABLE, UsageTables.figuresKey(window))
                .flatMap(row -> {
                    if (row.isEmpty()) {
                        return Single.just(Optional.empty());
                    }
                    var head = Codec.json()
                            .read(
                                    row.get().value(),
                                    UsageTables.FiguresHead.class,
                                    row.get().key());
                    return Observable.range(0, head.parts())
                            .concatMapSingle(part -> readPart(window, part))
                            .toList()
                            .map(parts -> Optional.of(new UsageReport(
                                    window,
                                    head.windowMilliseconds(),
                                    parts.stream()
                                            .flatMap(part -> part.figures().stream())
                                            .toList(),
                                    parts.stream()
                                            .flatMap(part -> part.corrections().stream())
                                            .toList())));
                });
    }

    private Single<UsageTables.FiguresPart> readPart(long window, int part) {
        String key = UsageTables.figuresPartKey(window, part);
        return tables.read(UsageTables.REPORT_TABLE, key)
                .flatMap(row -> row.isPresent()
                        ? Single.just(Codec.json().read(row.get().value(), UsageTables.FiguresPart.class, key))
                        : Single.error(new FireflywalkException(
                                ErrorKind.INTERNAL, "a part of the frozen figures is missing", key)));
    }

    private static <T> List<List<T>> split(List<T> items) {
        List<List<T>> parts = new ArrayList<>();
        for (int from = 0; from < items.size(); from += MAXIMUM_FIGURES_PER_PART) {
            parts.add(items.subList(from, Math.min(items.size(), from + MAXIMUM_FIGURES_PER_PART)));
        }
        return parts;
    }
}
