package io.fireflywalk.daemon.ingress;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Client of the platform's store. Calls fail with an error of kind {@code STORE_UNAVAILABLE} if they had no effect and
 * {@code STORE_OUTCOME_UNKNOWN} if they may have had one or may have one later. Makes one call each and repeats none.
 */
public interface FleetStore {

    /** Usual limit of a call; answers take a few milliseconds, those of a slow store some hundred. */
    Duration USUAL_ANSWER = Duration.ofMillis(1200);

    /** Reads rows whose key is at or after {@code from} and before {@code to}; an empty {@code to} is no bound. */
    Single<RowPage> read(Table table, String from, String to, int limit, CallLimit callLimit);

    /** Reads rows within the usual limit of a call. */
    default Single<RowPage> read(Table table, String from, String to, int limit) {
        return read(table, from, to, limit, new CallLimit(USUAL_ANSWER, false));
    }

    /** Waits for rows that changed after the version; emits an empty list when the wait ends without a change. */
    Single<RowChanges> changes(Table table, long afterVersion, Duration wait, CallLimit limit);

    /** Applies all writes if all conditions hold. */
    Single<CommitResult> commit(RowTransaction transaction);

    /** Tables of the fleet. */
    enum Table {
        /** The operator's configuration. */
        CONFIGURATION,
        /** Entries that targets write of themselves. */
        TARGETS,
        /** Live instances and the leases that they hold. */
        COORDINATION,
        /** Sizes of fleets as the operator gave them. */
        FLEET,
        /** Usage counts by window and instance. */
        USAGE,
        /** Usage figures as reported, by window. */
        REPORT
    }

    /**
     * Limit of a call.
     *
     * @param answer time within which the answer must come, beside the wait for changes
     * @param freshConnection true if the call must not use a connection that was opened before
     */
    record CallLimit(Duration answer, boolean freshConnection) {}

    /** A row; the value is empty if the row was removed. */
    record FleetRow(String key, long version, Optional<Buffer> value) {}

    /** Rows as of one moment. */
    record RowPage(List<FleetRow> rows, boolean more, long version) {}

    /** Changes in order; without the requested history the rows are empty and must be read again. */
    record RowChanges(List<FleetRow> rows, long version, boolean historyLost) {}

    /** Outcome of a transaction; the version is that of the written rows if it took effect. */
    record CommitResult(boolean committed, long version) {}

    /** Condition on a row; version 0 means that the row does not exist. */
    record Expectation(Table table, String key, long version) {}

    /** Write of a row; an empty value removes it. */
    record Write(Table table, String key, Optional<Buffer> value) {}

    /** Writes that take effect together if all conditions hold. */
    record RowTransaction(List<Expectation> expectations, List<Write> writes) {

        public RowTransaction {
            expectations = List.copyOf(expectations);
            writes = List.copyOf(writes);
        }

        /** Returns an empty transaction. */
        public static RowTransaction empty() {
            return new RowTransaction(List.of(), List.of());
        }

        /** Returns the transaction with one more condition. */
        public RowTransaction expecting(Table table, String key, long version) {
            List<Expectation> more = new ArrayList<>(expectations);
            more.add(new Expectation(table, key, version));
            return new RowTransaction(more, writes);
        }

        /** Returns the transaction with one more write. */
        public RowTransaction writing(Table table, String key, Buffer value) {
            return with(new Write(table, key, Optional.of(value)));
        }

        /** Returns the transaction with one more removal. */
        public RowTransaction removing(Table table, String key) {
            return with(new Write(table, key, Optional.empty()));
        }

        private RowTransaction with(Write write) {
            List<Write> more = new ArrayList<>(writes);
            more.add(write);
            return new RowTransaction(expectations, more);
        }
    }
}
