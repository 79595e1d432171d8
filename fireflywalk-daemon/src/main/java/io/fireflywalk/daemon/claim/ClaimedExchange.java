package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.claim.StoredResponse;
import io.fireflywalk.core.error.RunState;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Execution of one claimed request, from the granted claim to the stored outcome. Confined to one event loop. */
public final class ClaimedExchange {
    private final ClaimService claims;
    private final ClaimDecision.GrantedClaim granted;
    private Optional<ResponseCapture> capture = Optional.empty();

    public ClaimedExchange(ClaimService claims, ClaimDecision.GrantedClaim granted) {
        this.claims = claims;
        this.granted = granted;
    }

    /** Records the status and the headers that the caller receives. */
    public void responseStarted(int status, MultiMap headers) {
        List<StoredResponse.Header> kept = new ArrayList<>();
        headers.forEach((name, value) -> {
            String lowerCase = name.toLowerCase(Locale.ROOT);
            // A replay sets the length from the stored body, and a retry has its own request identifier.
            if (!lowerCase.equals("content-length")
                    && !lowerCase.equals("transfer-encoding")
                    && !lowerCase.startsWith("x-fireflywalk-")) {
                kept.add(new StoredResponse.Header(name, value));
            }
        });
        capture = Optional.of(new ResponseCapture(status, kept));
    }

    /** Records a chunk of the response body. */
    public void responseChunk(Buffer chunk) {
        capture.ifPresent(collected -> collected.append(chunk));
    }

    /** Stores the complete response; the caller must delay the end of the response until this completes. */
    public Completable storeResponse() {
        return claims.storeOutcome(granted, capture.flatMap(ResponseCapture::response));
    }

    /** Records that the execution failed; the claim of a request that was not executed is released. */
    public Completable storeFailure(RunState runState) {
        return runState == RunState.NOT_RUN ? claims.releaseClaim(granted) : claims.storeOutcomeUnknown(granted);
    }
}
