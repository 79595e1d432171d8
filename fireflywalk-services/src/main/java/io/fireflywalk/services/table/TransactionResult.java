package io.fireflywalk.services.table;

import java.util.List;

/**
 * Definite outcome of a transaction.
 *
 * @param committed true if the writes took effect
 * @param failedConditions conditions that were not met; empty if committed
 */
public record TransactionResult(boolean committed, List<RowCondition> failedConditions) {

    public TransactionResult {
        failedConditions = List.copyOf(failedConditions);
    }

    /** Returns the result of a transaction that took effect. */
    public static TransactionResult success() {
        return new TransactionResult(true, List.of());
    }

    /** Returns the result of a transaction that had no effect. */
    public static TransactionResult conflict(List<RowCondition> failedConditions) {
        return new TransactionResult(false, failedConditions);
    }
}
