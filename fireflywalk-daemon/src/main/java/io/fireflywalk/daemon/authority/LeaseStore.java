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

/** Lease rows in the table service. Stateless. */
final class LeaseStore {
    static final String TABLE = "lease";
    private static final int PAGE = 500;
    /** Up to this number single reads transfer less than a scan of all lease rows. */
    private static final int SINGLE_READS = 2;

    private final TableService tables;

    LeaseStore(TableService tables) {
        this.tables = tables;
    }

    /** Writes all rows in one transaction; emits the units whose condition failed, and none if it committed. */
    Single<Set<LeaseUnit>> write(Collection<LeaseWrite> writes) {
        Transaction.Builder builder = Transaction.builder("lease-" + UUID.randomUUID());
        Map<String, LeaseUnit> units = new HashMap<>();
        for (LeaseWrite write : writes) {
            String key = write.unit().key();
            units.put(key, write.unit());
            builder.expect(TABLE, key, write.expectedVersion())
                    .put(TABLE, key, Codec.json().write(write.record()));
        }
        return tables.execute(builder.build()).map(result -> {
            Set<LeaseUnit> failed = new HashSet<>();
            for (RowCondition condition : result.failedConditions()) {
                Optional.ofNullable(units.get(condition.key())).ifPresent(failed::add);
            }
            if (!result.committed() && failed.isEmpty()) {
                failed.addAll(units.values());
            }
            return failed;
        });
    }

    /** Reads the rows of the units: a few by key, more by one scan of the table. */
    Single<Map<LeaseUnit, FoundLease>> read(Collection<LeaseUnit> units) {
        if (units.size() > SINGLE_READS) {
            return scan("", new ArrayList<>()).map(rows -> select(units, rows));
        }
        Single<Map<LeaseUnit, FoundLease>> found = Single.just(new HashMap<>());
        for (LeaseUnit unit : units) {
            found = found.zipWith(tables.read(TABLE, unit.key()), (all, row) -> {
                all.put(unit, decode(row));
                return all;
            });
        }
        return found;
    }

    private Single<List<Row>> scan(String after, List<Row> rows) {
        return tables.scan(TABLE, "", after, PAGE).flatMap(page -> {
            rows.addAll(page);
            return page.size() < PAGE
                    ? Single.just(rows)
                    : scan(page.get(page.size() - 1).key(), rows);
        });
    }

    private static Map<LeaseUnit, FoundLease> select(Collection<LeaseUnit> units, List<Row> rows)
            throws FireflywalkException {
        Map<String, Row> byKey = new HashMap<>();
        rows.forEach(row -> byKey.put(row.key(), row));
        Map<LeaseUnit, FoundLease> found = new HashMap<>();
        for (LeaseUnit unit : units) {
            found.put(unit, decode(Optional.ofNullable(byKey.get(unit.key()))));
        }
        return found;
    }

    private static FoundLease decode(Optional<Row> row) throws FireflywalkException {
        if (row.isEmpty()) {
            return new FoundLease(Optional.empty(), 0);
        }
        Row found = row.get();
        LeaseRecord record = Codec.json().read(found.value(), LeaseRecord.class, TABLE + "/" + found.key());
        return new FoundLease(Optional.of(record), found.version());
    }

    /** Conditional write of one lease row. */
    record LeaseWrite(LeaseUnit unit, long expectedVersion, LeaseRecord record) {}

    /** Row as read; version 0 if it does not exist. */
    record FoundLease(Optional<LeaseRecord> record, long version) {}
}
