package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.List;
import java.util.UUID;

/** Executes transactions and settles unknown outcomes by writing a cancellation marker. Stateless. */
final class SettledTransactions {
    private static final String MARKER_TABLE = "transaction";
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final Duration RETRY = Duration.ofMillis(50);

    private final TableService tables;
    private final TimerService timers;

    SettledTransactions(TableService tables, TimerService timers) {
        this.tables = tables;
        this.timers = timers;
    }

    /** Emits the outcome, where a cancelled transaction is a conflict without failed conditions. */
    Single<TransactionResult> execute(Transaction transaction) {
        return tables.execute(transaction)
                .onErrorResumeNext(cause -> isUnknown(cause) ? settle(transaction.id(), 1) : Single.error(cause));
    }

    private Single<TransactionResult> settle(String id, int attempt) {
        Transaction cancellation = Transaction.builder(UUID.randomUUID().toString())
                .expect(MARKER_TABLE, id, 0)
                .put(MARKER_TABLE, id, "cancelled")
                .build();
        return tables.execute(cancellation)
                .flatMap(result ->
                        result.committed() ? Single.just(TransactionResult.conflict(List.of())) : readMarker(id))
                .onErrorResumeNext(cause -> attempt < MAXIMUM_ATTEMPTS
                        ? timers.after(RETRY).andThen(Single.defer(() -> settle(id, attempt + 1)))
                        : Single.error(cause));
    }

    private Single<TransactionResult> readMarker(String id) {
        // An earlier cancellation whose answer was lost leaves the same conflict as the transaction itself.
        return tables.read(MARKER_TABLE, id)
                .map(row -> row.isPresent() && !row.get().value().equals("cancelled")
                        ? TransactionResult.success()
                        : TransactionResult.conflict(List.of()));
    }

    private static boolean isUnknown(Throwable cause) {
        return cause instanceof FireflywalkException known && known.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN;
    }
}
