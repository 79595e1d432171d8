package io.fireflywalk.services.table;

import java.util.Locale;
import java.util.Optional;

/** Content of the marker row of a transaction, which states its final outcome. */
public enum TransactionMarker {
    /** The transaction took effect. */
    COMMITTED,
    /** The transaction has had no effect and can no longer have one. */
    CANCELLED;

    /** Table of the marker rows; the key is the identifier of the transaction. */
    public static final String TABLE = "transaction";

    /** Returns the content of the row. */
    public String value() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the outcome that a marker row states. */
    public static TransactionMarker of(Row row) {
        return row.value().equals(CANCELLED.value()) ? CANCELLED : COMMITTED;
    }

    /** Tells whether the result is a conflict because the identifier was used or cancelled before. */
    static boolean isIn(TransactionResult result, String transactionId) {
        return result.failedConditions().contains(new RowCondition(TABLE, transactionId, 0));
    }

    /** Returns a transaction that keeps another one from taking effect, unless it already has. */
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
