package io.fireflywalk.core.order;

/** Inference phases that an engine serves. */
public enum EngineRole {
    /** Prefill (prompt processing) only. */
    PREFILL,
    /** Decode (token generation) only. */
    DECODE,
    /** Prefill and decode. */
    MIXED
}
