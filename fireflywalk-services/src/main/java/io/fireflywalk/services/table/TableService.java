package io.fireflywalk.services.table;

import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;

/**
 * The platform's transactional table service. Reads and transactions are linearizable. Failures arrive as {@code
 * FireflywalkException} of kind {@code STORE_UNAVAILABLE} if the call had no effect and {@code STORE_OUTCOME_UNKNOWN}
 * if it may have had one. Thread-safe.
 */
public interface TableService {

    /** Executes the transaction atomically; a failed condition is a result, not an error. */
    Single<TransactionResult> execute(Transaction transaction);

    /** Reads a row; empty if it does not exist. */
    Single<Optional<Row>> read(String table, String key);

    /** Reads up to {@code limit} rows in key order, with keys that start with the prefix and sort after {@code after}. */
    Single<List<Row>> scan(String table, String prefix, String after, int limit);
}
