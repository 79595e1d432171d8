package io.fireflywalk.core.request;

/** Event of an attempt that affects the run state of the request. */
public enum AttemptEvent {
    /** The connection is established and the first byte of the request is about to be written. */
    WRITE_STARTED,
    /** The target refused the request and stated that it did not run it. */
    REFUSED,
    /** The target started to send a response, which need not be complete. */
    ANSWERED,
    /** The attempt ended: it failed, was abandoned, or its response is complete. */
    ENDED
}
