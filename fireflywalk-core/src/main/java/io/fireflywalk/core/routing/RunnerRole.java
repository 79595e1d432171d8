package io.fireflywalk.core.routing;

/** Inference phases that a runner's engine serves. */
public enum RunnerRole {
    /** Prefill only; the KV cache is exported to a decode runner. */
    PREFILL,
    /** Decode only; the KV cache is imported from a prefill runner. */
    DECODE,
    /** Prefill and decode. */
    MIXED
}
