package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.lease.LeaseRecord;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.RowCondition;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;

/** Reads and writes lease rows in the table service. Stateless. */
final class LeaseStore {
    static final String TABLE = "lease";
    private static final int PAGE_SIZE = 500;
    /** Up to this many units, reads by key transfer less data than a scan of all lease rows. */
    private static final int MAXIMUM_SINGLE_READS = 2;

    private final TableService tableService;

    LeaseStore(TableService tableService) {
        this.tableService = tableService;
    }

    /**
     * Writes all rows in one transaction. Emits the units whose version condition failed, or an empty set if the
     * transaction committed.
     */
    Single<Set<LeaseUnit>> write(Collection<LeaseWrite> writes) {
        Transaction.Builder builder = Transaction.builder("lease-" + UUID.randomUUID());
        Map<String, LeaseUnit> units = new HashMap<>();
        for (LeaseWrite write : writes) {
            String key = write.unit().key();
            units.put(key, write.unit());
            builder.expect(TABLE, key, write.expectedVersion())
                    .put(TABLE, key, Codec.json().write(write.record()));
        }
        return tableService.execute(builder.build()).map(result -> {
            Set<LeaseUnit> conflicting = new HashSet<>();
            for (RowCondition condition : result.failedConditions()) {
                Optional.ofNullable(units.get(condition.key())).ifPresent(conflicting::add);
            }
            if (!result.committed() && conflicting.isEmpty()) {
                conflicting.addAll(units.values());
            }
            return conflicting;
        });
    }

    /** Reads the lease rows of the units: a few by key, more by one table scan. */
    Single<Map<LeaseUnit, StoredLease>> read(Collection<LeaseUnit> units) {
        if (units.size() > MAXIMUM_SINGLE_READS) {
            return scan("", new ArrayList<>()).map(rows -> select(units, rows));
        }
        Single<Map<LeaseUnit, StoredLease>> found = Single.just(new HashMap<>());
        for (LeaseUnit unit : units) {
            found = found.zipWith(tableService.read(TABLE, unit.key()), (all, row) -> {
                all.put(unit, decode(row));
                return all;
            });
        }
        return found;
    }

    private Single<List<Row>> scan(String after, List<Row> rows) {
        return tableService.scan(TABLE, "", after, PAGE_SIZE).flatMap(page -> {
            rows.addAll(page);
            return page.size() < PAGE_SIZE
                    ? Single.just(rows)
                    : scan(page.get(page.size() - 1).key(), rows);
        });
    }

    private static Map<LeaseUnit, StoredLease> select(Collection<LeaseUnit> units, List<Row> rows)
            throws FireflywalkException {
        Map<String, Row> byKey = new HashMap<>();
        rows.forEach(row -> byKey.put(row.key(), row));
        Map<LeaseUnit, StoredLease> found = new HashMap<>();
        for (LeaseUnit unit : units) {
            found.put(unit, decode(Optional.ofNullable(byKey.get(unit.key()))));
        }
        return found;
    }

    private static StoredLease decode(Optional<Row> row) throws FireflywalkException {
        if (row.isEmpty()) {
            return new StoredLease(Optional.empty(), 0);
        }
        Row found = row.get();
        LeaseRecord record = Codec.json().read(found.value(), LeaseRecord.class, TABLE + "/" + found.key());
        return new StoredLease(Optional.of(record), found.version());
    }

    /** Write of one lease row, conditional on its version. */
    record LeaseWrite(LeaseUnit unit, long expectedVersion, LeaseRecord record) {}

    /** Lease row as read; empty with version 0 if it does not exist. */
    record StoredLease(Optional<LeaseRecord> record, long version) {}
}
