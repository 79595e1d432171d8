package io.fireflywalk.core.order;

/** Part of the work that an engine takes. */
public enum EngineRole {
    /** Prompts only. */
    PREFILL,
    /** Generation only. */
    DECODE,
    /** Prompts and generation. */
    MIXED
}
