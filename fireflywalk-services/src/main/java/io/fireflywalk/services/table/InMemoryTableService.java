package io.fireflywalk.services.table;

import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** In-memory table service for tests, the demo command and the stand-in process. Thread-safe. */
public final class InMemoryTableService implements TableService {
    private final Map<String, NavigableMap<String, Row>> tables = new TreeMap<>();

    @Override
    public Single<TransactionResult> execute(Transaction transaction) {
        return Single.fromCallable(() -> executeNow(transaction));
    }

    @Override
    public Single<Optional<Row>> read(String table, String key) {
        return Single.fromCallable(() -> readNow(table, key));
    }

    @Override
    public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
        return Single.fromCallable(() -> scanNow(table, prefix, after, limit));
    }

    private synchronized TransactionResult executeNow(Transaction transaction) {
        RowCondition markerAbsent = new RowCondition(TransactionMarker.TABLE, transaction.id(), 0);
        if (!isMet(markerAbsent)) {
            return TransactionResult.conflict(List.of(markerAbsent));
        }
        List<RowCondition> failed = transaction.conditions().stream()
                .filter(condition -> !isMet(condition))
                .toList();
        if (!failed.isEmpty()) {
            return TransactionResult.conflict(failed);
        }
        apply(new RowWrite(
                TransactionMarker.TABLE, transaction.id(), Optional.of(TransactionMarker.COMMITTED.value())));
        transaction.writes().forEach(this::apply);
        return TransactionResult.success();
    }

    private synchronized Optional<Row> readNow(String table, String key) {
        return Optional.ofNullable(rows(table).get(key));
    }

    private synchronized List<Row> scanNow(String table, String prefix, String after, int limit) {
        List<Row> found = new ArrayList<>();
        String start = after.compareTo(prefix) > 0 ? after : prefix;
        for (Row row : rows(table).tailMap(start, true).values()) {
            if (!row.key().startsWith(prefix) || found.size() == limit) {
                break;
            }
            if (!row.key().equals(after)) {
                found.add(row);
            }
        }
        return found;
    }

    private boolean isMet(RowCondition condition) {
        return versionOf(condition.table(), condition.key()) == condition.expectedVersion();
    }

    private void apply(RowWrite write) {
        if (write.value().isPresent()) {
            long version = versionOf(write.table(), write.key()) + 1;
            Row row = new Row(write.table(), write.key(), version, write.value().get());
            rows(write.table()).put(write.key(), row);
        } else {
            rows(write.table()).remove(write.key());
        }
    }

    private long versionOf(String table, String key) {
        Row row = rows(table).get(key);
        return row == null ? 0 : row.version();
    }

    private NavigableMap<String, Row> rows(String table) {
        return tables.computeIfAbsent(table, name -> new TreeMap<>());
    }
}
