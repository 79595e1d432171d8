package io.fireflywalk.daemon.usage;

import io.fireflywalk.core.usage.UsageRow;
import io.fireflywalk.platform.codec.Codec;
import io.fireflywalk.platform.table.TableService;
import io.fireflywalk.platform.table.Transaction;
import io.fireflywalk.platform.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import org.jboss.logging.Logger;

/** Adds up usage in cumulative rows and writes the changed ones to the table service. Confined to one event loop. */
public final class UsageRecorder {
    /** Table of the usage rows. */
    public static final String TABLE = "usage";

    private static final Logger LOG = Logger.getLogger(UsageRecorder.class);

    private final TableService tables;
    private final TimerService timers;
    private final String incarnation;
    private final long windowMilliseconds;
    private final Duration flushPeriod;
    private final Map<String, UsageRow> rows = new HashMap<>();
    private final Set<String> changedKeys = new HashSet<>();
    private Optional<Disposable> subscription = Optional.empty();

    public UsageRecorder(
            TableService tables,
            TimerService timers,
            String incarnation,
            long windowMilliseconds,
            Duration flushPeriod) {
        this.tables = tables;
        this.timers = timers;
        this.incarnation = incarnation;
        this.windowMilliseconds = windowMilliseconds;
        this.flushPeriod = flushPeriod;
    }

    /** Starts to flush. */
    public void start() {
        subscription = Optional.of(timers.every(flushPeriod)
                .concatMapCompletable(tick -> flush().onErrorComplete())
                .subscribe());
    }

    /** Stops the periodic flush; the caller flushes once more. */
    public void stop() {
        subscription.ifPresent(Disposable::dispose);
    }

    /** Counts one answer; the end of the answer is held back until the returned stream completes. */
    public Completable record(String clientAccount, String service, long promptTokens, long generatedTokens) {
        long window = timers.wallClockMilliseconds() / windowMilliseconds;
        String key = window + "/" + incarnation + "/" + clientAccount + "/" + service;
        UsageRow added = new UsageRow(window, incarnation, clientAccount, service, 1, promptTokens, generatedTokens);
        rows.merge(key, added, UsageRow::plus);
        changedKeys.add(key);
        return Completable.complete();
    }

    /** Writes the changed rows. */
    public Completable flush() {
        if (changedKeys.isEmpty()) {
            return Completable.complete();
        }
        Set<String> keys = Set.copyOf(changedKeys);
        Transaction.Builder transaction = Transaction.builder(UUID.randomUUID().toString());
        keys.forEach(key -> transaction.put(TABLE, key, Codec.json().write(rows.get(key))));
        changedKeys.clear();
        return tables.execute(transaction.build())
                .observeOn(timers.scheduler())
                .doOnError(cause -> {
                    changedKeys.addAll(keys);
                    LOG.warnf("event=usage_flush_failed rows=%d cause=\"%s\"", keys.size(), cause.getMessage());
                })
                .ignoreElement();
    }
}
