package io.fireflywalk.core.placement;

/** What a runner does at the moment, as far as its last report and the platform's list say. */
public enum RunnerState {
    /** Takes new requests. */
    SERVING,
    /** Takes no new requests and finishes the running ones. */
    DRAINING,
    /** Loads a model or changes its role. */
    CHANGING,
    /** The platform has announced to reclaim the target within seconds. */
    RECLAIM_NOTICE,
    /** Is being released. */
    LEAVING,
    /** The engine has ended or the target is gone. */
    CRASHED
}
