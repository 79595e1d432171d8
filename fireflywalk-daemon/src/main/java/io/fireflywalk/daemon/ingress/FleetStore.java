package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.store.StoreEras;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Client of the platform's store. Calls fail with an error of kind {@code STORE_UNAVAILABLE} if they had no effect and
 * {@code STORE_OUTCOME_UNKNOWN} if they may have taken effect or may still do so. Makes one call each without retries.
 *
 * <p>Answers of an earlier era than the newest known one fail, so that a result belongs to the current era. So does a
 * transaction during which the era has changed: it may have been applied to a state that is gone.
 */
public interface FleetStore {

    /** Responses take a few milliseconds, and some hundred from a slow store. */
    Duration DEFAULT_RESPONSE_TIMEOUT = Duration.ofMillis(1200);

    /** Reads rows with keys from {@code from} (inclusive) to {@code to} (exclusive; unbounded if empty). */
    Single<RowPage> read(Table table, String from, String to, int limit, CallOptions options);

    /** Reads rows with the default options. */
    default Single<RowPage> read(Table table, String from, String to, int limit) {
        return read(table, from, to, limit, new CallOptions(DEFAULT_RESPONSE_TIMEOUT, false));
    }

    /** Long-polls for rows that changed after the version; emits an empty list if none changed during the wait. */
    Single<RowChanges> changes(Table table, long afterVersion, Duration wait, CallOptions options);

    /** Applies all writes atomically if all preconditions hold. */
    Single<CommitResult> commit(RowTransaction transaction);

    /** Returns the eras that the store has stated; versions of one era mean nothing in another. */
    StoreEras eras();

    /** Tables of the fleet. */
    enum Table {
        /** The operator's configuration. */
        CONFIGURATION,
        /** Entries that targets register for themselves. */
        TARGETS,
        /** Live instances and the leases that they hold. */
        COORDINATION,
        /** Initial sizes of fleets, as provisioned by the operator. */
        FLEET,
        /** Usage counts by window and instance. */
        USAGE,
        /** Usage counts as reported, by window. */
        REPORT
    }

    /**
     * Options of a call.
     *
     * @param responseTimeout time until the response, not counting the wait of a long poll
     * @param newConnection true if the call must not reuse a pooled connection
     */
    record CallOptions(Duration responseTimeout, boolean newConnection) {}

    /** A row; the value is empty if the row was removed. */
    record FleetRow(String key, long version, Optional<Buffer> value) {}

    /** Page of rows, and the version of the store at which it was read. */
    record RowPage(List<FleetRow> rows, boolean hasMore, long version) {}

    /** Changes in order; if the requested history was lost, there are none and the table must be read again. */
    record RowChanges(List<FleetRow> rows, long version, boolean historyLost) {}

    /** Outcome of a transaction; the version is that of the written rows if it was committed. */
    record CommitResult(boolean committed, long version) {}

    /** Required version of a row; 0 means that the row must not exist. */
    record Precondition(Table table, String key, long version) {}

    /** Write of a row; an empty value removes it. */
    record Write(Table table, String key, Optional<Buffer> value) {}

    /** Writes that are applied atomically if all preconditions hold. */
    record RowTransaction(List<Precondition> preconditions, List<Write> writes) {

        public RowTransaction {
            preconditions = List.copyOf(preconditions);
            writes = List.copyOf(writes);
        }

        /** Returns an empty transaction. */
        public static RowTransaction empty() {
            return new RowTransaction(List.of(), List.of());
        }

        /** Returns the transaction with one more precondition. */
        public RowTransaction withPrecondition(Table table, String key, long version) {
            List<Precondition> extended = new ArrayList<>(preconditions);
            extended.add(new Precondition(table, key, version));
            return new RowTransaction(extended, writes);
        }

        /** Returns the transaction with one more write. */
        public RowTransaction withWrite(Table table, String key, Buffer value) {
            return append(new Write(table, key, Optional.of(value)));
        }

        /** Returns the transaction with one more removal. */
        public RowTransaction withRemoval(Table table, String key) {
            return append(new Write(table, key, Optional.empty()));
        }

        private RowTransaction append(Write write) {
            List<Write> extended = new ArrayList<>(writes);
            extended.add(write);
            return new RowTransaction(preconditions, extended);
        }
    }
}
