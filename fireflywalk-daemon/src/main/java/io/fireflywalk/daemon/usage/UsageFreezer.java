package io.fireflywalk.daemon.usage;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.usage.FigureBuilder;
import io.fireflywalk.core.usage.UsageFigure;
import io.fireflywalk.core.usage.UsageReport;
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
 * Closes windows and freezes their figures. A closed window takes no more segments, so every process that computes its
 * figures gets the same ones; the first transaction that writes them decides, and only written figures are returned.
 * Stateless but for its metric.
 */
public final class UsageFreezer {
    private static final int SEGMENTS_PER_READ = 16;
    private static final int FIGURES_PER_PART = 500;
    private static final int CLOSED_PER_RUN = 128;
    /** The first closed window lies this far back, so that an instance with a slow clock finds its windows open. */
    private static final int FIRST_WINDOW_MARGIN = 2;

    private final TableService tables;
    private final ReportLimits limits;
    private final Counter tooLate;

    public UsageFreezer(TableService tables, ReportLimits limits, MetricRegistry metrics) {
        this.tables = tables;
        this.limits = limits;
        this.tooLate = metrics.counter("usage_answers_too_late");
    }

    /** Closes windows in order up to the last one that is due, and emits the closed range; empty if none is closed. */
    Single<Optional<UsageTables.ClosedRange>> closeThrough(long lastDue) {
        return closeThrough(lastDue, CLOSED_PER_RUN);
    }

    /** Emits the frozen figures of a closed window, after freezing them if no process has. */
    Single<UsageReport> freeze(long window) {
        return readFrozen(window)
                .flatMap(frozen -> frozen.isPresent()
                        ? Single.just(frozen.get())
                        : compute(window)
                                .flatMap(report -> tables.execute(freezing(report)))
                                // The transaction that is stored decides, whoever sent it.
                                .flatMap(result -> readFrozen(window))
                                .flatMap(stored -> stored.map(Single::just)
                                        .orElseGet(() -> Single.error(new FireflywalkException(
                                                ErrorKind.STORE_UNAVAILABLE, "figures are not stored", "freeze")))));
    }

    private Single<Optional<UsageTables.ClosedRange>> closeThrough(long lastDue, int remaining) {
        return tables.read(UsageTables.REPORTS, UsageTables.CLOSED_RANGE).flatMap(row -> {
            Optional<UsageTables.ClosedRange> range = Optional.empty();
            if (row.isPresent()) {
                range = Optional.of(Codec.json().read(row.get().value(), UsageTables.ClosedRange.class, "closed"));
            }
            if (remaining == 0 || (range.isPresent() && range.get().last() >= lastDue)) {
                return Single.just(range);
            }
            long version = row.map(Row::version).orElse(0L);
            return nextRange(range, lastDue)
                    .flatMap(next -> next.last() > lastDue
                            ? Single.just(Optional.<UsageTables.ClosedRange>empty())
                            : tables.execute(closing(next, version))
                                    .flatMap(result -> closeThrough(lastDue, remaining - 1)));
        });
    }

    private Single<UsageTables.ClosedRange> nextRange(Optional<UsageTables.ClosedRange> range, long lastDue) {
        if (range.isPresent()) {
            return Single.just(
                    new UsageTables.ClosedRange(range.get().first(), range.get().last() + 1));
        }
        return tables.scan(UsageTables.USAGE, "", "", 1).map(rows -> {
            long oldest = rows.isEmpty()
                    ? lastDue
                    : Math.min(lastDue, UsageTables.windowOf(rows.get(0).key()));
            long first = oldest - FIRST_WINDOW_MARGIN;
            return new UsageTables.ClosedRange(first, first);
        });
    }

    private static Transaction closing(UsageTables.ClosedRange next, long version) {
        return Transaction.builder(UUID.randomUUID().toString())
                .expect(UsageTables.REPORTS, UsageTables.CLOSED_RANGE, version)
                .expect(UsageTables.REPORTS, UsageTables.closed(next.last()), 0)
                .put(UsageTables.REPORTS, UsageTables.CLOSED_RANGE, Codec.json().write(next))
                .put(UsageTables.REPORTS, UsageTables.closed(next.last()), "closed")
                .build();
    }

    private Single<UsageReport> compute(long window) {
        FigureBuilder builder = new FigureBuilder(window);
        return forEachRow(UsageTables.windowPrefix(window), "", builder::add)
                .andThen(Completable.defer(() -> addBooked(builder, window)))
                // Read after the earlier amounts: rows that are removed from now on were read in full.
                .andThen(Single.defer(() -> tables.read(UsageTables.REPORTS, UsageTables.REMOVED_THROUGH)))
                .map(removed -> {
                    builder.leaveOutThrough(
                            removed.map(row -> Long.parseLong(row.value())).orElse(Long.MIN_VALUE));
                    tooLate.inc(builder.tooLate());
                    return builder.build(limits.window().toMillis());
                });
    }

    private Completable addBooked(FigureBuilder builder, long window) {
        List<String> prefixes = new ArrayList<>();
        for (Map.Entry<String, Long> late : builder.lateIncarnations().entrySet()) {
            for (long earlier = late.getValue(); earlier < window; earlier++) {
                prefixes.add(UsageTables.ownerPrefix(earlier, late.getKey()));
            }
        }
        return Observable.fromIterable(prefixes)
                .concatMapCompletable(prefix -> forEachRow(prefix, "", builder::addBooked));
    }

    private Completable forEachRow(String prefix, String after, Consumer<UsageRow> action) {
        return tables.scan(UsageTables.USAGE, prefix, after, SEGMENTS_PER_READ).flatMapCompletable(rows -> {
            for (Row row : rows) {
                UsageWriter.rowsOf(row).forEach(action);
            }
            return rows.size() < SEGMENTS_PER_READ
                    ? Completable.complete()
                    : forEachRow(prefix, rows.get(rows.size() - 1).key(), action);
        });
    }

    private static Transaction freezing(UsageReport report) {
        List<UsageTables.FiguresPart> parts = new ArrayList<>();
        for (List<UsageFigure> part : split(report.figures())) {
            parts.add(new UsageTables.FiguresPart(part, List.of()));
        }
        for (List<UsageFigure> part : split(report.corrections())) {
            parts.add(new UsageTables.FiguresPart(List.of(), part));
        }
        Transaction.Builder builder = Transaction.builder(UUID.randomUUID().toString())
                .expect(UsageTables.REPORTS, UsageTables.figures(report.window()), 0)
                .put(
                        UsageTables.REPORTS,
                        UsageTables.figures(report.window()),
                        Codec.json().write(new UsageTables.FiguresHead(report.windowMilliseconds(), parts.size())));
        for (int i = 0; i < parts.size(); i++) {
            builder.put(
                    UsageTables.REPORTS,
                    UsageTables.figuresPart(report.window(), i),
                    Codec.json().write(parts.get(i)));
        }
        return builder.build();
    }

    private Single<Optional<UsageReport>> readFrozen(long window) {
        return tables.read(UsageTables.REPORTS, UsageTables.figures(window)).flatMap(row -> {
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
        String key = UsageTables.figuresPart(window, part);
        return tables.read(UsageTables.REPORTS, key)
                .flatMap(row -> row.isPresent()
                        ? Single.just(Codec.json().read(row.get().value(), UsageTables.FiguresPart.class, key))
                        : Single.error(
                                new FireflywalkException(ErrorKind.INTERNAL, "a part of the figures is missing", key)));
    }

    private static <T> List<List<T>> split(List<T> items) {
        List<List<T>> parts = new ArrayList<>();
        for (int from = 0; from < items.size(); from += FIGURES_PER_PART) {
            parts.add(items.subList(from, Math.min(items.size(), from + FIGURES_PER_PART)));
        }
        return parts;
    }
}
