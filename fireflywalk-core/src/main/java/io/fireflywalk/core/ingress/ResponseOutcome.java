package io.fireflywalk.core.ingress;

/** What a response tells about the target that sent it. */
public enum ResponseOutcome {
    /** The target ran the request, or the request itself was invalid. */
    ANSWERED,
    /** The target did not run the request. */
    REJECTED,
    /** The target failed to run the request. */
    FAILED
}
