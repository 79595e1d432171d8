package io.fireflywalk.core.admission;

import io.fireflywalk.core.error.ErrorKind;
import java.util.Optional;

/**
 * Result of admission control for a request. A refused request has not been run.
 *
 * @param id identifier of the request
 * @param state admitted, queued or refused
 * @param refusal reason of a refusal; empty in the other states
 * @param retryAfterSeconds time after which the caller of a refused request should retry; otherwise 0
 */
public record AdmissionDecision(long id, State state, Optional<ErrorKind> refusal, double retryAfterSeconds) {

    /** State of a request after admission control. */
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
