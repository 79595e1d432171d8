package io.fireflywalk.benchmark.authority;

import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;

/** Delegating table service that counts calls and rows. Confined to one thread. */
final class CountingTableService implements TableService {
    private final TableService delegate;
    private long transactions;
    private long writtenRows;
    private long reads;
    private long readRows;

    CountingTableService(TableService delegate) {
        this.delegate = delegate;
    }

    @Override
    public Single<TransactionResult> execute(Transaction transaction) {
        return Single.defer(() -> {
            transactions++;
            // Each transaction also writes its marker row.
            writtenRows += transaction.writes().size() + 1L;
            return delegate.execute(transaction);
        });
    }

    @Override
    public Single<Optional<Row>> read(String table, String key) {
        return Single.defer(() -> {
            reads++;
            readRows++;
            return delegate.read(table, key);
        });
    }

    @Override
    public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
        return Single.defer(() -> {
            reads++;
            return delegate.scan(table, prefix, after, limit).doOnSuccess(rows -> readRows += rows.size());
        });
    }

    Counts counts() {
        return new Counts(transactions, writtenRows, reads, readRows);
    }

    /** Cumulative numbers of calls and rows. */
    record Counts(long transactions, long writtenRows, long reads, long readRows) {

        Counts minus(Counts earlier) {
            return new Counts(
                    transactions - earlier.transactions,
                    writtenRows - earlier.writtenRows,
                    reads - earlier.reads,
                    readRows - earlier.readRows);
        }
    }
}
