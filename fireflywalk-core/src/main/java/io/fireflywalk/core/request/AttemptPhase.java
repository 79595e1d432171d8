package io.fireflywalk.core.request;

/** Progress of an attempt to send a request to a target. */
public enum AttemptPhase {
    /** No byte of the request has left this instance. */
    NOT_SENT,
    /** Bytes of the request may have reached the target. */
    MAYBE_SENT,
    /** The target refused the request and stated that it did not run it. */
    REFUSED,
    /** The target started to send a response. */
    ANSWERED
}
