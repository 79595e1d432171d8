package io.fireflywalk.core.configuration;

/** How the platform charges for a target. */
public enum TargetCharge {
    /** Full price; the target runs until it is released. */
    REGULAR,
    /** Reduced price; the platform may reclaim the target at a few seconds' notice. */
    PREEMPTIBLE
}
