package io.fireflywalk.services.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Conditional writes that take effect together or not at all.
 *
 * @param id unique identifier; a transaction of the same identifier takes effect at most once
 * @param conditions conditions, all of which must hold
 * @param writes writes
 */
public record Transaction(String id, List<RowCondition> conditions, List<RowWrite> writes) {

    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }

    /** Returns a builder of a transaction with the identifier. */
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

        /** Requires that the row has the version; 0 means that it does not exist. */
        public Builder expect(String table, String key, long expectedVersion) {
            conditions.add(new RowCondition(table, key, expectedVersion));
            return this;
        }

        /** Writes a row. */
        public Builder put(String table, String key, String value) {
            writes.add(new RowWrite(table, key, Optional.of(value)));
            return this;
        }

        /** Removes a row. */
        public Builder remove(String table, String key) {
            writes.add(new RowWrite(table, key, Optional.empty()));
            return this;
        }

        /** Returns the transaction. */
        public Transaction build() {
            return new Transaction(id, conditions, writes);
        }
    }
}
