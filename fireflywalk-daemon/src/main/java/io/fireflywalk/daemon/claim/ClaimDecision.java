package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.claim.ClaimRecord;
import io.fireflywalk.core.claim.StoredAnswer;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;

/**
 * What a request with an idempotency key does: run under a granted claim, or give the stored answer.
 *
 * @param granted claim under which the request may run
 * @param stored answer of the request that ran before
 */
public record ClaimDecision(Optional<GrantedClaim> granted, Optional<Answer> stored) {

    /** Claim under which one request runs. */
    public record GrantedClaim(String key, ClaimRecord claim, long version) {}

    /** Complete answer. */
    public record Answer(int status, List<StoredAnswer.Header> headers, Buffer body) {}

    static ClaimDecision run(GrantedClaim claim) {
        return new ClaimDecision(Optional.of(claim), Optional.empty());
    }

    static ClaimDecision replay(Answer answer) {
        return new ClaimDecision(Optional.empty(), Optional.of(answer));
    }
}
