package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.claim.StoredAnswer;
import io.fireflywalk.core.error.RunState;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Run of one claimed request, from its grant to its stored outcome. Confined to one event loop. */
public final class ClaimedExchange {
    private final ClaimService claims;
    private final ClaimDecision.GrantedClaim granted;
    private Optional<AnswerCapture> capture = Optional.empty();

    public ClaimedExchange(ClaimService claims, ClaimDecision.GrantedClaim granted) {
        this.claims = claims;
        this.granted = granted;
    }

    /** Notes the head of the answer, with the headers that the caller gets. */
    public void answerStarted(int status, MultiMap headers) {
        List<StoredAnswer.Header> kept = new ArrayList<>();
        headers.forEach((name, value) -> {
            String lowerCase = name.toLowerCase(Locale.ROOT);
            // The length follows from the stored body, and the request identifier belongs to the retry.
            if (!lowerCase.equals("content-length")
                    && !lowerCase.equals("transfer-encoding")
                    && !lowerCase.startsWith("x-fireflywalk-")) {
                kept.add(new StoredAnswer.Header(name, value));
            }
        });
        capture = Optional.of(new AnswerCapture(status, kept));
    }

    /** Notes a piece of the answer's body. */
    public void answerChunk(Buffer chunk) {
        capture.ifPresent(collected -> collected.accept(chunk));
    }

    /** Stores the complete answer; the end of the answer waits for the result. */
    public Completable answerEnded() {
        return claims.storeOutcome(granted, capture.flatMap(AnswerCapture::answer));
    }

    /** Stores that the run failed; a request that was not run gives its claim up. */
    public Completable failed(RunState runState) {
        return runState == RunState.NOT_RUN ? claims.release(granted) : claims.storeUnknown(granted);
    }
}
