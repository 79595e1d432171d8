package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;

/**
 * Table of records of one type, written with optimistic concurrency control. Tracks writes of unknown outcome until
 * they can no longer take effect. Confined to one event loop.
 */
final class RecordTable<T> {
    private static final int PAGE_SIZE = 500;

    private final TableService tableService;
    private final String table;
    private final Class<T> type;
    private final Set<String> unresolvedTransactions = new LinkedHashSet<>();

    RecordTable(TableService tableService, String table, Class<T> type) {
        this.tableService = tableService;
        this.table = table;
        this.type = type;
    }

    Single<Versioned<T>> read(String key) {
        return tableService.read(table, key).map(row -> {
            if (row.isEmpty()) {
                return new Versioned<T>(0, Optional.empty());
            }
            T value = Codec.json().read(row.get().value(), type, table + "/" + key);
            return new Versioned<>(row.get().version(), Optional.of(value));
        });
    }

    Single<List<T>> scan(String prefix) {
        return scan(prefix, "", new ArrayList<>());
    }

    /** Writes the record, or fails with {@code VERSION_CONFLICT} if the row has another version. */
    Completable write(String key, long expectedVersion, T value) {
        Transaction transaction = Transaction.builder(table + "-" + UUID.randomUUID())
                .expect(table, key, expectedVersion)
                .put(table, key, Codec.json().write(value))
                .build();
        return tableService
                .execute(transaction)
                .doOnSubscribe(ignored -> unresolvedTransactions.add(transaction.id()))
                .doOnSuccess(ignored -> unresolvedTransactions.remove(transaction.id()))
                .flatMapCompletable(result -> result.committed()
                        ? Completable.complete()
                        : Completable.error(new FireflywalkException(
                                ErrorKind.VERSION_CONFLICT, "another process changed the row", table + "/" + key)));
    }

    /**
     * Waits until every earlier write of unknown outcome has taken effect or no longer can, so that a following read
     * shows its final state. The table service answers an empty transaction under the same identifier only then.
     */
    Completable resolveUnknownWrites() {
        return Flowable.fromIterable(List.copyOf(unresolvedTransactions))
                .concatMapCompletable(id -> tableService
                        .execute(Transaction.builder(id).build())
                        .doOnSuccess(ignored -> unresolvedTransactions.remove(id))
                        .ignoreElement());
    }

    private Single<List<T>> scan(String prefix, String after, List<T> records) {
        return tableService.scan(table, prefix, after, PAGE_SIZE).flatMap(rows -> {
            for (var row : rows) {
                records.add(Codec.json().read(row.value(), type, table + "/" + row.key()));
            }
            return rows.size() < PAGE_SIZE
                    ? Single.just(records)
                    : scan(prefix, rows.get(rows.size() - 1).key(), records);
        });
    }

    /** Record with its row version; empty with version 0 if the row does not exist. */
    record Versioned<T>(long version, Optional<T> value) {}
}
