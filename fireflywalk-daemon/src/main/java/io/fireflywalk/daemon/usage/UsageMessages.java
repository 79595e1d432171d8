package io.fireflywalk.daemon.usage;

import io.fireflywalk.core.usage.CopiedRow;
import java.util.List;

/** Messages of {@code POST /peer/v1/usage}. */
public final class UsageMessages {
    /** Path of the peer call. */
    public static final String PATH = "/peer/v1/usage";

    private UsageMessages() {}

    /** Rows of the owner that the table service may lack, and how far the table service holds its rows. */
    public record Copies(String owner, List<CopiedRow> rows, long flushedThrough) {
        public Copies {
            rows = List.copyOf(rows);
        }
    }

    /** Answer: whether the peer holds the rows. */
    public record CopiesAnswer(boolean held) {}
}
