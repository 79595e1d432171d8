package io.fireflywalk.core.request;

/** How far an attempt to send a request to a target has come. */
public enum AttemptPhase {
    /** No byte of the request may have left this instance. */
    NOT_SENT,
    /** Bytes of the request may have reached the target. */
    MAYBE_SENT,
    /** The target refused the request and stated that it did not run it. */
    REFUSED,
    /** The target answered. */
    ANSWERED
}
