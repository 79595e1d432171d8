package io.fireflywalk.services.instance;

/**
 * Entry of the platform's list of instances.
 *
 * @param incarnation run of the daemon
 * @param instance name of the instance
 * @param state state as far as the platform knows
 */
public record InstanceStatus(String incarnation, String instance, State state) {

    /** States of a run. */
    public enum State {
        RUNNING,
        LEAVING,
        TERMINATED
    }
}
