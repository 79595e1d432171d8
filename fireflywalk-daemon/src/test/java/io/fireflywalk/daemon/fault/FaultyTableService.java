package io.fireflywalk.daemon.fault;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Table service that loses answers, with the effect before, without it, or with it later, and that can be out. Each
 * call takes one to four milliseconds of test time.
 */
public final class FaultyTableService implements TableService {
    private final TableService tables;
    private final Scheduler scheduler;
    private final Random random;
    private int lostPercent;
    private boolean out;
    private long transactions;
    private long writes;

    public FaultyTableService(TableService tables, Scheduler scheduler, long seed) {
        this.tables = tables;
        this.scheduler = scheduler;
        this.random = new Random(seed);
    }

    /** Sets the share of calls whose answer is lost. */
    public void loseAnswers(int percent) {
        lostPercent = percent;
    }

    /** Starts or ends an outage. */
    public void setOut(boolean isOut) {
        out = isOut;
    }

    /** Returns the number of transactions that arrived. */
    public long transactions() {
        return transactions;
    }

    /** Returns the number of row writes that arrived. */
    public long writes() {
        return writes;
    }

    @Override
    public Single<TransactionResult> execute(Transaction transaction) {
        return Single.defer(() -> {
            long delay = 1L + random.nextInt(4);
            if (out) {
                return later(delay).flatMap(tick -> Single.error(unknown()));
            }
            transactions++;
            writes += transaction.writes().size();
            boolean lost = random.nextInt(100) < lostPercent;
            int fate = lost ? random.nextInt(3) : -1;
            if (fate == 0) {
                return later(delay).flatMap(tick -> Single.error(unknown()));
            }
            if (fate == 1) {
                // The transaction takes effect long after the caller has given up.
                scheduler.scheduleDirect(
                        () -> tables.execute(transaction).subscribe().dispose(),
                        500 + random.nextInt(20_000),
                        TimeUnit.MILLISECONDS);
                return later(delay).flatMap(tick -> Single.error(unknown()));
            }
            return later(delay)
                    .flatMap(tick -> tables.execute(transaction))
                    .flatMap(result -> fate == 2 ? Single.error(unknown()) : Single.just(result));
        });
    }

    @Override
    public Single<Optional<Row>> read(String table, String key) {
        return reading(tables.read(table, key));
    }

    @Override
    public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
        return reading(tables.scan(table, prefix, after, limit));
    }

    private <T> Single<T> reading(Single<T> call) {
        return Single.defer(() -> {
            boolean fails = out || random.nextInt(100) < lostPercent;
            return later(1L + random.nextInt(4))
                    .flatMap(tick -> fails
                            ? Single.error(new FireflywalkException(ErrorKind.STORE_UNAVAILABLE, "lost", "test table"))
                            : call);
        });
    }

    private Single<Long> later(long milliseconds) {
        return Single.timer(milliseconds, TimeUnit.MILLISECONDS, scheduler);
    }

    private static FireflywalkException unknown() {
        return new FireflywalkException(ErrorKind.STORE_OUTCOME_UNKNOWN, "lost", "test table");
    }
}
