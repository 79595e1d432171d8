package io.fireflywalk.core.error;

/** Tells a caller whether a target may have executed its request. */
public enum RunState {
    /** No byte of the request reached a target, or every target that received it refused it before execution. */
    NOT_RUN,
    /** A target may have executed the request. */
    UNKNOWN,
    /** A target executed the request. */
    RUN
}
