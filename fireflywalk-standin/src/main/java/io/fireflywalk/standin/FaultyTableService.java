package io.fireflywalk.standin;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Injects faults into the calls to another table service: queued faults for the next calls, an outage, or random faults
 * from a seed. The same sequence of calls with the same queue or seed gets the same faults. Thread-safe.
 */
public final class FaultyTableService implements TableService {
    private final TableService delegate;
    private final TimerService timers;
    private final Duration delay;
    private final Deque<TableFault> writeFaults = new ArrayDeque<>();
    private final Deque<TableFault> readFaults = new ArrayDeque<>();
    private Optional<SplittableRandom> random = Optional.empty();
    private double faultProbability;
    private boolean outage;

    public FaultyTableService(TableService delegate, TimerService timers, Duration delay) {
        this.delegate = delegate;
        this.timers = timers;
        this.delay = delay;
    }

    /** Queues faults for the next transactions, one per call. */
    public synchronized FaultyTableService failWrites(TableFault... faults) {
        writeFaults.addAll(List.of(faults));
        return this;
    }

    /** Queues faults for the next reads and scans, one per call. */
    public synchronized FaultyTableService failReads(TableFault... faults) {
        readFaults.addAll(List.of(faults));
        return this;
    }

    /** Injects a random fault with this probability into each call that has no queued fault. */
    public synchronized FaultyTableService failRandomly(long seed, double probability) {
        random = Optional.of(new SplittableRandom(seed));
        faultProbability = probability;
        return this;
    }

    /** Starts or ends an outage, during which every call fails with {@code STORE_UNAVAILABLE}. */
    public synchronized void setUnavailable(boolean enabled) {
        outage = enabled;
    }

    @Override
    public Single<TransactionResult> execute(Transaction transaction) {
        return inject(writeFaults, () -> delegate.execute(transaction));
    }

    @Override
    public Single<Optional<Row>> read(String table, String key) {
        return inject(readFaults, () -> delegate.read(table, key));
    }

    @Override
    public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
        return inject(readFaults, () -> delegate.scan(table, prefix, after, limit));
    }

    private <T> Single<T> inject(Deque<TableFault> queuedFaults, Operation<T> operation) {
        return Single.defer(() -> switch (nextFault(queuedFaults)) {
            case NONE -> operation.start();
            case TIMEOUT_WITH_EFFECT -> {
                Disposable unused = operation.start().subscribe(ignored -> {}, ignored -> {});
                yield Single.never();
            }
            case TIMEOUT_WITHOUT_EFFECT -> Single.never();
            case SLOW -> runDetached(timers.after(delay).andThen(Single.defer(operation::start)));
            case LATE_RESPONSE -> {
                Single<T> result = runDetached(operation.start());
                yield timers.after(delay).andThen(result);
            }
            case OUT ->
                Single.error(new FireflywalkException(
                        ErrorKind.STORE_UNAVAILABLE, "simulated outage", "faulty table service"));
        });
    }

    /** Starts the operation now and lets it complete even if the subscriber disposes of it. */
    private static <T> Single<T> runDetached(Single<T> operation) {
        Single<T> shared = operation.cache();
        Disposable unused = shared.subscribe(ignored -> {}, ignored -> {});
        return shared;
    }

    private synchronized TableFault nextFault(Deque<TableFault> queuedFaults) {
        if (outage) {
            return TableFault.OUT;
        }
        if (!queuedFaults.isEmpty()) {
            return queuedFaults.poll();
        }
        if (random.isPresent() && random.get().nextDouble() < faultProbability) {
            TableFault[] faults = TableFault.values();
            return faults[1 + random.get().nextInt(faults.length - 1)];
        }
        return TableFault.NONE;
    }

    /** Starts a call to the delegate. */
    @FunctionalInterface
    private interface Operation<T> {
        Single<T> start();
    }
}
