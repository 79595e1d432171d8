package io.fireflywalk.core.configuration;

/** How the platform charges for a target. */
public enum TargetCharge {
    /** Full charge; the platform keeps the target until it is released. */
    REGULAR,
    /** Lower charge; the platform may reclaim the target at a few seconds' notice. */
    PREEMPTIBLE
}
