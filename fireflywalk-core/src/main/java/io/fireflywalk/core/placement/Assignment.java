package io.fireflywalk.core.placement;

import io.fireflywalk.core.routing.RunnerRole;

/**
 * What a runner serves.
 *
 * @param served model, version and adapter
 * @param role role of the runner
 */
public record Assignment(ServedModel served, RunnerRole role) {

    /** Returns the same model in another role. */
    public Assignment withRole(RunnerRole newRole) {
        return new Assignment(served, newRole);
    }

    /** Returns a text for log lines. */
    public String label() {
        return served.label() + ":" + role;
    }
}
