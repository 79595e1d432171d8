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

/**
 * Executes transactions. If the outcome of one is unknown, a cancellation marker is written under its identifier, which
 * succeeds only if the transaction has not committed and keeps it from committing later. Stateless.
 */
final class TransactionExecutor {
    private static final String MARKER_TABLE = "transaction";
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    private final TableService tables;
    private final TimerService timers;

    TransactionExecutor(TableService tables, TimerService timers) {
        this.tables = tables;
        this.timers = timers;
    }

    /** Emits the outcome; a cancelled transaction is reported as a conflict without failed conditions. */
    Single<TransactionResult> execute(Transaction transaction) {
        return tables.execute(transaction)
                .onErrorResumeNext(
                        cause -> isOutcomeUnknown(cause) ? resolveOutcome(transaction.id(), 1) : Single.error(cause));
    }

    private Single<TransactionResult> resolveOutcome(String id, int attempt) {
        Transaction cancellation = Transaction.builder(UUID.randomUUID().toString())
                .expect(MARKER_TABLE, id, 0)
                .put(MARKER_TABLE, id, "cancelled")
                .build();
        return tables.execute(cancellation)
                .flatMap(result ->
                        result.committed() ? Single.just(TransactionResult.conflict(List.of())) : readMarker(id))
                .onErrorResumeNext(cause -> attempt < MAXIMUM_ATTEMPTS
                        ? timers.after(RETRY_DELAY).andThen(Single.defer(() -> resolveOutcome(id, attempt + 1)))
                        : Single.error(cause));
    }

    private Single<TransactionResult> readMarker(String id) {
        // An earlier cancellation whose response was lost causes the same conflict as a committed transaction.
        return tables.read(MARKER_TABLE, id)
                .map(row -> row.isPresent() && !row.get().value().equals("cancelled")
                        ? TransactionResult.success()
                        : TransactionResult.conflict(List.of()));
    }

    private static boolean isOutcomeUnknown(Throwable cause) {
        return cause instanceof FireflywalkException exception && exception.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN;
    }
}
