package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.RowWrite;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** In-memory table service whose calls take effect after one message and respond after another one. */
final class DelayedTableService implements TableService {
    /** Time of a message on its way to the service or back. */
    static final long MESSAGE_MILLISECONDS = 40;

    private final Scheduler scheduler;
    private final Map<String, Row> rows = new HashMap<>();
    private final Set<String> executed = new HashSet<>();
    boolean unavailable;

    DelayedTableService(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    Optional<Row> row(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    @Override
    public Single<TransactionResult> execute(Transaction transaction) {
        return delayed(() -> apply(transaction));
    }

    private TransactionResult apply(Transaction transaction) throws FireflywalkException {
        if (unavailable) {
            throw new FireflywalkException(ErrorKind.STORE_UNAVAILABLE, "unavailable", "memory table");
        }
        boolean met = transaction.conditions().stream()
                .allMatch(condition -> version(condition.key()) == condition.expectedVersion());
        if (!met || !executed.add(transaction.id())) {
            return TransactionResult.conflict(transaction.conditions());
        }
        for (RowWrite write : transaction.writes()) {
            long next = version(write.key()) + 1;
            rows.put(
                    write.key(),
                    new Row(write.table(), write.key(), next, write.value().get()));
        }
        return TransactionResult.success();
    }

    private long version(String key) {
        return row(key).map(Row::version).orElse(0L);
    }

    @Override
    public Single<Optional<Row>> read(String name, String key) {
        return delayed(() -> row(key));
    }

    @Override
    public Single<List<Row>> scan(String name, String prefix, String after, int limit) {
        return delayed(() -> List.copyOf(rows.values()));
    }

    /** Returns a call that takes effect once it is sent, although its caller may no longer be interested. */
    <T> Single<T> delayed(Callable<T> effect) {
        return Single.defer(() -> {
            Single<T> result = Single.timer(MESSAGE_MILLISECONDS, TimeUnit.MILLISECONDS, scheduler)
                    .map(tick -> effect.call())
                    .cache();
            var unused = result.subscribe(value -> {}, cause -> {});
            return result.delay(MESSAGE_MILLISECONDS, TimeUnit.MILLISECONDS, scheduler, true);
        });
    }
}
