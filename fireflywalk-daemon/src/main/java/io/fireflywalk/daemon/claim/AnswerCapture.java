package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.claim.StoredAnswer;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;

/**
 * Collects a copy of an answer while it passes to the caller, up to the bound of stored bodies. Confined to one event
 * loop.
 */
public final class AnswerCapture {
    private final int status;
    private final List<StoredAnswer.Header> headers;
    private Optional<Buffer> body = Optional.of(Buffer.buffer());

    public AnswerCapture(int status, List<StoredAnswer.Header> headers) {
        this.status = status;
        this.headers = List.copyOf(headers);
    }

    /** Adds a piece of the body; beyond the bound the body is dropped. */
    public void accept(Buffer chunk) {
        body = body.filter(collected -> collected.length() + chunk.length() <= ClaimLimits.OBJECT_BODY_BYTES);
        body.ifPresent(collected -> collected.appendBuffer(chunk));
    }

    /** Returns the complete answer, empty if it is too large to be stored. */
    public Optional<ClaimDecision.Answer> answer() {
        return body.map(collected -> new ClaimDecision.Answer(status, headers, collected));
    }
}
