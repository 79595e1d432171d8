package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.claim.StoredResponse;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;

/**
 * Copies a response while it is forwarded to the caller, up to the maximum size of a stored body. Confined to one event
 * loop.
 */
public final class ResponseCapture {
    private final int status;
    private final List<StoredResponse.Header> headers;
    private Optional<Buffer> body = Optional.of(Buffer.buffer());

    public ResponseCapture(int status, List<StoredResponse.Header> headers) {
        this.status = status;
        this.headers = List.copyOf(headers);
    }

    /** Appends a chunk of the body; a body that exceeds the maximum size is discarded. */
    public void append(Buffer chunk) {
        body = body.filter(collected -> collected.length() + chunk.length() <= ClaimLimits.OBJECT_BODY_BYTES);
        body.ifPresent(collected -> collected.appendBuffer(chunk));
    }

    /** Returns the complete response, or empty if it is too large to be stored. */
    public Optional<ClaimDecision.Response> response() {
        return body.map(collected -> new ClaimDecision.Response(status, headers, collected));
    }
}
