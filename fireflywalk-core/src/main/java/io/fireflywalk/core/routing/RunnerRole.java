package io.fireflywalk.core.routing;

/** What a runner's engine takes. */
public enum RunnerRole {
    /** Computes prompts and exports their KV cache. */
    PREFILL,
    /** Imports KV cache and generates tokens. */
    DECODE,
    /** Does both. */
    MIXED
}
