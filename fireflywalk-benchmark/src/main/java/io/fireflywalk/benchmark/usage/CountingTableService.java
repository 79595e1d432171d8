package io.fireflywalk.benchmark.usage;

import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.RowWrite;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Table service that counts writes, discards them, and responds after a fixed delay. Reads find nothing. */
final class CountingTableService implements TableService {
    private final Scheduler scheduler;
    private final long responseDelayMilliseconds;
    private long transactions;
    private long rows;
    private long bytes;

    CountingTableService(Scheduler scheduler, long responseDelayMilliseconds) {
        this.scheduler = scheduler;
        this.responseDelayMilliseconds = responseDelayMilliseconds;
    }

    @Override
    public Single<TransactionResult> execute(Transaction transaction) {
        return Single.defer(() -> {
            transactions++;
            rows += transaction.writes().size();
            for (RowWrite write : transaction.writes()) {
                bytes += write.value().map(String::length).orElse(0);
            }
            return delayed(TransactionResult.success());
        });
    }

    @Override
    public Single<Optional<Row>> read(String table, String key) {
        return delayed(Optional.empty());
    }

    @Override
    public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
        return delayed(List.of());
    }

    void reset() {
        transactions = 0;
        rows = 0;
        bytes = 0;
    }

    long transactions() {
        return transactions;
    }

    long rows() {
        return rows;
    }

    long bytes() {
        return bytes;
    }

    private <T> Single<T> delayed(T value) {
        return Single.timer(responseDelayMilliseconds, TimeUnit.MILLISECONDS, scheduler)
                .map(tick -> value);
    }
}
