package io.fireflywalk.core.claim;

/** Execution state of a claimed request. */
public enum ClaimState {
    /** The holder may be running the request. */
    IN_PROGRESS,
    /** The request was run and its response is stored. */
    ANSWERED,
    /** The request was run, but its response is too large to be stored. */
    ANSWER_NOT_STORED,
    /** The holder does not know whether the request was run. */
    OUTCOME_UNKNOWN,
    /** The holder has not run the request and will not run it; the key can be claimed again. */
    RELEASED
}
