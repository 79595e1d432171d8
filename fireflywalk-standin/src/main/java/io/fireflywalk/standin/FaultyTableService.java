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
 * Injects faults into the calls to another table service: a script of faults for the next calls, an outage switch, or
 * random faults from a seed. The same calls with the same script or seed meet the same faults. Thread-safe.
 */
public final class FaultyTableService implements TableService {
    private final TableService delegate;
    private final TimerService timers;
    private final Duration delay;
    private final Deque<TableFault> writeScript = new ArrayDeque<>();
    private final Deque<TableFault> readScript = new ArrayDeque<>();
    private Optional<SplittableRandom> random = Optional.empty();
    private double faultFraction;
    private boolean out;

    public FaultyTableService(TableService delegate, TimerService timers, Duration delay) {
        this.delegate = delegate;
        this.timers = timers;
        this.delay = delay;
    }

    /** Appends faults for the next transactions. */
    public synchronized FaultyTableService failWrites(TableFault... faults) {
        writeScript.addAll(List.of(faults));
        return this;
    }

    /** Appends faults for the next reads and scans. */
    public synchronized FaultyTableService failReads(TableFault... faults) {
        readScript.addAll(List.of(faults));
        return this;
    }

    /** Gives each call outside a script a random fault with the probability. */
    public synchronized FaultyTableService failRandomly(long seed, double probability) {
        random = Optional.of(new SplittableRandom(seed));
        faultFraction = probability;
        return this;
    }

    /** Starts or ends an outage, during which every call is refused. */
    public synchronized void setOut(boolean newOut) {
        out = newOut;
    }

    @Override
    public Single<TransactionResult> execute(Transaction transaction) {
        return inject(writeScript, () -> delegate.execute(transaction));
    }

    @Override
    public Single<Optional<Row>> read(String table, String key) {
        return inject(readScript, () -> delegate.read(table, key));
    }

    @Override
    public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
        return inject(readScript, () -> delegate.scan(table, prefix, after, limit));
    }

    private <T> Single<T> inject(Deque<TableFault> script, Operation<T> operation) {
        return Single.defer(() -> switch (nextFault(script)) {
            case NONE -> operation.start();
            case TIMEOUT_WITH_EFFECT -> {
                Disposable unused = operation.start().subscribe(ignored -> {}, ignored -> {});
                yield Single.never();
            }
            case TIMEOUT_WITHOUT_EFFECT -> Single.never();
            case SLOW -> detached(timers.after(delay).andThen(Single.defer(operation::start)));
            case LATE_RESPONSE -> {
                Single<T> result = detached(operation.start());
                yield timers.after(delay).andThen(result);
            }
            case OUT ->
                Single.error(new FireflywalkException(
                        ErrorKind.STORE_UNAVAILABLE, "the service refuses calls", "faulty table service"));
        });
    }

    /** Starts the operation now and lets it run to its end even if the subscriber gives up. */
    private static <T> Single<T> detached(Single<T> operation) {
        Single<T> shared = operation.cache();
        Disposable unused = shared.subscribe(ignored -> {}, ignored -> {});
        return shared;
    }

    private synchronized TableFault nextFault(Deque<TableFault> script) {
        if (out) {
            return TableFault.OUT;
        }
        if (!script.isEmpty()) {
            return script.poll();
        }
        if (random.isPresent() && random.get().nextDouble() < faultFraction) {
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
