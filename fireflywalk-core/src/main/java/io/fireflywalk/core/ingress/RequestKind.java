package io.fireflywalk.core.ingress;

/** Kinds of requests, by how the response is sent and how often they may run. */
public enum RequestKind {
    /** Complete response; may run more than once. */
    IDEMPOTENT,
    /** Complete response; runs at most once. */
    NON_IDEMPOTENT,
    /** Response as a stream of server-sent events. */
    STREAMING
}
