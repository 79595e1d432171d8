package io.fireflywalk.services.table;

import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;

/**
 * The platform's transactional table service. Reads and transactions are linearizable. Failures arrive as {@code
 * FireflywalkException} of kind {@code STORE_UNAVAILABLE} when the call had no effect and {@code
 * STORE_OUTCOME_UNKNOWN} when it may have had one. Thread-safe.
 */
public interface TableService {

    /** Executes the transaction. */
    Single<TransactionResult> execute(Transaction transaction);

    /** Reads a row. */
    Single<Optional<Row>> read(String table, String key);

    /** Reads at most {@code limit} rows whose key starts with the prefix and is greater than {@code after}, by key. */
    Single<List<Row>> scan(String table, String prefix, String after, int limit);
}
