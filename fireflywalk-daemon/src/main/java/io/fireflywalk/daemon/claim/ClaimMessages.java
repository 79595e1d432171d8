package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.claim.ClaimOperation;
import io.fireflywalk.core.claim.ClaimResult;
import java.util.List;

/** Messages of {@code POST /peer/v1/claims}. */
public final class ClaimMessages {
    public static final String PATH = "/peer/v1/claims";

    private ClaimMessages() {}

    /** Operations on claims in shards that the recipient owns. */
    public record Operations(List<ClaimOperation> operations) {
        public Operations {
            operations = List.copyOf(operations);
        }
    }

    /** Results in the order of the operations. */
    public record Results(List<ClaimResult> results) {
        public Results {
            results = List.copyOf(results);
        }
    }
}
