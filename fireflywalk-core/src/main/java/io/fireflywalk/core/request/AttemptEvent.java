package io.fireflywalk.core.request;

/** What happens to one attempt, as far as it bears on the run state. */
public enum AttemptEvent {
    /** The connection is established and the first byte of the request is about to be written. */
    WRITE_STARTED,
    /** The target refused the request and stated that it did not run it. */
    REFUSED,
    /** The target answered; the answer need not be complete. */
    ANSWERED,
    /** The attempt ended: it failed, was abandoned, or its answer is complete. */
    ENDED
}
