package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.claim.ClaimRecord;
import io.fireflywalk.core.claim.StoredResponse;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;

/**
 * Result of claiming an idempotency key: either a granted claim or the stored response of an earlier request.
 *
 * @param granted claim that allows the request to be executed
 * @param storedResponse response of the earlier request, to be replayed
 */
public record ClaimDecision(Optional<GrantedClaim> granted, Optional<Response> storedResponse) {

    /** Claim that allows one request to be executed, with the version of its row. */
    public record GrantedClaim(String key, ClaimRecord claim, long version) {}

    /** Complete response. */
    public record Response(int status, List<StoredResponse.Header> headers, Buffer body) {}

    static ClaimDecision execute(GrantedClaim claim) {
        return new ClaimDecision(Optional.of(claim), Optional.empty());
    }

    static ClaimDecision replay(Response response) {
        return new ClaimDecision(Optional.empty(), Optional.of(response));
    }
}
