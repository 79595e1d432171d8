package io.fireflywalk.core.usage;

import java.util.List;

/**
 * Batch of rows of one owner, in the order of their last change.
 *
 * @param rows rows, each with the sequence number of its last change
 * @param through sequence number up to which the receiver holds all changes once it has stored the batch
 */
public record UsageBatch(List<CopiedRow> rows, long through) {
    public UsageBatch {
        rows = List.copyOf(rows);
    }
}
