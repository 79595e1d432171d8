package io.fireflywalk.core.claim;

/** What is known of a claimed request. */
public enum ClaimState {
    /** The holder may be running the request. */
    IN_PROGRESS,
    /** The request was run and its answer is stored. */
    ANSWERED,
    /** The request was run and its answer exceeds what is stored. */
    ANSWER_NOT_STORED,
    /** The holder cannot tell whether the request was run. */
    OUTCOME_UNKNOWN,
    /** The holder did not run the request and never will; another may claim the key. */
    RELEASED
}
