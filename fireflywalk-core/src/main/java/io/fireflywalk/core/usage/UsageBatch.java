package io.fireflywalk.core.usage;

import java.util.List;

/**
 * Rows of one owner, in the order of their last change.
 *
 * @param rows rows, each with the sequence number of its last change
 * @param through sequence number up to which all changes are covered once the batch is held
 */
public record UsageBatch(List<CopiedRow> rows, long through) {
    public UsageBatch {
        rows = List.copyOf(rows);
    }
}
