package io.fireflywalk.core.ingress;

/** Kinds of requests by how their answer arrives and how often they may run. */
public enum RequestKind {
    /** Answered as a whole; may run more than once. */
    IDEMPOTENT,
    /** Answered as a whole; runs at most once. */
    NON_IDEMPOTENT,
    /** Answered by server-sent events. */
    STREAMING
}
