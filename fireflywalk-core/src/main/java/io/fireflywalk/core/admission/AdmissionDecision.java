package io.fireflywalk.core.admission;

import io.fireflywalk.core.error.ErrorKind;
import java.util.Optional;

/**
 * What becomes of a request. A refused request was not run.
 *
 * @param id identifier of the request
 * @param state admitted, queued or refused
 * @param refusal kind of the refusal
 * @param retryAfterSeconds hint for the caller of a refused request
 */
public record AdmissionDecision(long id, State state, Optional<ErrorKind> refusal, double retryAfterSeconds) {

    /** What becomes of a request. */
    public enum State {
        ADMITTED,
        QUEUED,
        REFUSED
    }

    static AdmissionDecision admitted(long id) {
        return new AdmissionDecision(id, State.ADMITTED, Optional.empty(), 0);
    }

    static AdmissionDecision queued(long id) {
        return new AdmissionDecision(id, State.QUEUED, Optional.empty(), 0);
    }

    static AdmissionDecision refused(long id, ErrorKind kind, double retryAfterSeconds) {
        return new AdmissionDecision(id, State.REFUSED, Optional.of(kind), retryAfterSeconds);
    }
}
