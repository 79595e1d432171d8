package io.fireflywalk.services.table;

import java.util.Locale;
import java.util.Optional;

/** Final outcome of a transaction, stored in its marker row. */
public enum TransactionMarker {
    /** The transaction took effect. */
    COMMITTED,
    /** The transaction had no effect and can no longer take effect. */
    CANCELLED;

    /** Table of the marker rows, keyed by transaction identifier. */
    public static final String TABLE = "transaction";

    /** Returns the stored value of the marker row. */
    public String value() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the outcome that a marker row states. */
    public static TransactionMarker of(Row row) {
        return row.value().equals(CANCELLED.value()) ? CANCELLED : COMMITTED;
    }

    /** Returns whether the result is a conflict with an existing marker row of the transaction. */
    static boolean isMarkerConflict(TransactionResult result, String transactionId) {
        return result.failedConditions().contains(new RowCondition(TABLE, transactionId, 0));
    }

    /** Returns a transaction that prevents another one from taking effect, and conflicts if its marker row exists. */
    static Transaction cancellation(String transactionId, String cancellationId) {
        return Transaction.builder(cancellationId)
                .expect(TABLE, transactionId, 0)
                .put(TABLE, transactionId, CANCELLED.value())
                .build();
    }

    /** Returns the outcome stated by the marker row, if it exists. */
    static Optional<TransactionMarker> of(Optional<Row> row) {
        return row.map(TransactionMarker::of);
    }
}
