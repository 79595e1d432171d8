package io.fireflywalk.core.request;

import io.fireflywalk.core.error.RunState;

/**
 * What is known of all attempts of one request. Immutable.
 *
 * @param mayHaveRun true if an attempt may have been executed by a target
 * @param answered true if a target has answered
 * @param attempts number of attempts that were started
 */
public record RequestProgress(boolean mayHaveRun, boolean answered, int attempts) {
    private static final RequestProgress INITIAL = new RequestProgress(false, false, 0);

    /** Returns the progress of a request without attempts. */
    public static RequestProgress initial() {
        return INITIAL;
    }

    /** Returns the progress after an attempt ended in the phase. */
    public RequestProgress attemptEnded(AttemptPhase phase) {
        return switch (phase) {
            case NOT_SENT, REFUSED -> new RequestProgress(mayHaveRun, answered, attempts + 1);
            case MAYBE_SENT -> new RequestProgress(true, answered, attempts + 1);
            case ANSWERED -> new RequestProgress(true, true, attempts + 1);
        };
    }

    /** Returns the strongest statement that is true of the request. */
    public RunState runState() {
        if (answered) {
            return RunState.RUN;
        }
        return mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN;
    }

    /** Tells whether another attempt cannot execute the request a second time. */
    public boolean mayAttemptAgain(boolean idempotent) {
        return idempotent || !mayHaveRun;
    }
}
