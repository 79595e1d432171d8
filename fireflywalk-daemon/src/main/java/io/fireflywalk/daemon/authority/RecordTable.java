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
 * Records of one type in one table, written on the condition of the version that was read. Remembers writes of unknown
 * outcome until they can no longer take effect. Confined to one event loop.
 */
final class RecordTable<T> {
    private static final int PAGE = 500;

    private final TableService tables;
    private final String table;
    private final Class<T> type;
    private final Set<String> unresolved = new LinkedHashSet<>();

    RecordTable(TableService tables, String table, Class<T> type) {
        this.tables = tables;
        this.table = table;
        this.type = type;
    }

    Single<Versioned<T>> read(String key) {
        return tables.read(table, key).map(row -> {
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
        return tables.execute(transaction)
                .doOnSubscribe(ignored -> unresolved.add(transaction.id()))
                .doOnSuccess(ignored -> unresolved.remove(transaction.id()))
                .flatMapCompletable(result -> result.committed()
                        ? Completable.complete()
                        : Completable.error(new FireflywalkException(
                                ErrorKind.VERSION_CONFLICT, "another process changed the row", table + "/" + key)));
    }

    /**
     * Ends the doubt about earlier writes: an empty transaction under the same identifier is answered only when the
     * write has taken effect or no longer can. A read after this shows the final state.
     */
    Completable resolve() {
        return Flowable.fromIterable(List.copyOf(unresolved))
                .concatMapCompletable(
                        id -> tables.execute(Transaction.builder(id).build())
                                .doOnSuccess(ignored -> unresolved.remove(id))
                                .ignoreElement());
    }

    private Single<List<T>> scan(String prefix, String after, List<T> found) {
        return tables.scan(table, prefix, after, PAGE).flatMap(rows -> {
            for (var row : rows) {
                found.add(Codec.json().read(row.value(), type, table + "/" + row.key()));
            }
            return rows.size() < PAGE
                    ? Single.just(found)
                    : scan(prefix, rows.get(rows.size() - 1).key(), found);
        });
    }

    /** Record with the version of its row; version 0 and empty if there is none. */
    record Versioned<T>(long version, Optional<T> value) {}
}
