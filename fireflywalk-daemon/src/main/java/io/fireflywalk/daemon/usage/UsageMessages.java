package io.fireflywalk.daemon.usage;

import io.fireflywalk.core.usage.CopiedRow;
import java.util.List;

/** Request and response of {@code POST /peer/v1/usage}. */
public final class UsageMessages {
    public static final String PATH = "/peer/v1/usage";

    private UsageMessages() {}

    /** Rows of the owner that the table service may lack, and the sequence number up to which it has all rows. */
    public record Copies(String owner, List<CopiedRow> rows, long flushedThrough) {
        public Copies {
            rows = List.copyOf(rows);
        }
    }

    /** Response: whether the peer holds the rows. */
    public record CopiesResponse(boolean held) {}
}
