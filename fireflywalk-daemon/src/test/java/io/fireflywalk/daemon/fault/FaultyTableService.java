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
 * Table service that injects outages and lost responses. A transaction whose response is lost has taken effect, takes
 * effect later, or never does. Each call takes 1 to 4 ms of test time.
 */
public final class FaultyTableService implements TableService {
    private final TableService tables;
    private final Scheduler scheduler;
    private final Random random;
    private int lostResponsePercent;
    private boolean unavailable;
    private long transactions;
    private long writes;

    public FaultyTableService(TableService tables, Scheduler scheduler, long seed) {
        this.tables = tables;
        this.scheduler = scheduler;
        this.random = new Random(seed);
    }

    /** Sets the percentage of calls whose response is lost. */
    public void setLostResponsePercent(int percent) {
        lostResponsePercent = percent;
    }

    /** Starts or ends an outage. */
    public void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    /** Returns the number of transactions received. */
    public long transactions() {
        return transactions;
    }

    /** Returns the number of row writes received. */
    public long writes() {
        return writes;
    }

    @Override
    public Single<TransactionResult> execute(Transaction transaction) {
        return Single.defer(() -> {
            long delay = 1L + random.nextInt(4);
            if (unavailable) {
                return delayed(delay).flatMap(tick -> Single.error(unknownOutcome()));
            }
            transactions++;
            writes += transaction.writes().size();
            boolean responseLost = random.nextInt(100) < lostResponsePercent;
            int lossKind = responseLost ? random.nextInt(3) : -1;
            if (lossKind == 0) {
                return delayed(delay).flatMap(tick -> Single.error(unknownOutcome()));
            }
            if (lossKind == 1) {
                // The transaction takes effect long after the caller has given up.
                scheduler.scheduleDirect(
                        () -> tables.execute(transaction).subscribe().dispose(),
                        500 + random.nextInt(20_000),
                        TimeUnit.MILLISECONDS);
                return delayed(delay).flatMap(tick -> Single.error(unknownOutcome()));
            }
            return delayed(delay)
                    .flatMap(tick -> tables.execute(transaction))
                    .flatMap(result -> lossKind == 2 ? Single.error(unknownOutcome()) : Single.just(result));
        });
    }

    @Override
    public Single<Optional<Row>> read(String table, String key) {
        return readWithFaults(tables.read(table, key));
    }

    @Override
    public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
        return readWithFaults(tables.scan(table, prefix, after, limit));
    }

    private <T> Single<T> readWithFaults(Single<T> read) {
        return Single.defer(() -> {
            boolean readFails = unavailable || random.nextInt(100) < lostResponsePercent;
            return delayed(1L + random.nextInt(4))
                    .flatMap(tick -> readFails
                            ? Single.error(new FireflywalkException(
                                    ErrorKind.STORE_UNAVAILABLE, "response lost", "test table"))
                            : read);
        });
    }

    private Single<Long> delayed(long milliseconds) {
        return Single.timer(milliseconds, TimeUnit.MILLISECONDS, scheduler);
    }

    private static FireflywalkException unknownOutcome() {
        return new FireflywalkException(ErrorKind.STORE_OUTCOME_UNKNOWN, "response lost", "test table");
    }
}
