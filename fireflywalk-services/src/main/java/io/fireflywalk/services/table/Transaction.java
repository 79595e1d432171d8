package io.fireflywalk.services.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Conditional writes that are applied atomically.
 *
 * @param id unique identifier; transactions with the same identifier take effect at most once in total
 * @param conditions conditions, all of which must be met
 * @param writes writes to apply
 */
public record Transaction(String id, List<RowCondition> conditions, List<RowWrite> writes) {

    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }

    public static Builder builder(String id) {
        return new Builder(id);
    }

    /** Collects the conditions and writes of a transaction. Not thread-safe. */
    public static final class Builder {
        private final String id;
        private final List<RowCondition> conditions = new ArrayList<>();
        private final List<RowWrite> writes = new ArrayList<>();

        private Builder(String id) {
            this.id = id;
        }

        /** Requires that the row has the version; 0 requires that the row does not exist. */
        public Builder expect(String table, String key, long expectedVersion) {
            conditions.add(new RowCondition(table, key, expectedVersion));
            return this;
        }

        /** Adds a write of a row. */
        public Builder put(String table, String key, String value) {
            writes.add(new RowWrite(table, key, Optional.of(value)));
            return this;
        }

        /** Adds a removal of a row. */
        public Builder remove(String table, String key) {
            writes.add(new RowWrite(table, key, Optional.empty()));
            return this;
        }

        public Transaction build() {
            return new Transaction(id, conditions, writes);
        }
    }
}
