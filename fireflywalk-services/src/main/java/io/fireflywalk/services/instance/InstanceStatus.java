package io.fireflywalk.services.instance;

/**
 * Entry of the platform's list of instances.
 *
 * @param incarnation incarnation of the daemon
 * @param instance name of the instance
 * @param state state known to the platform, which may be outdated
 */
public record InstanceStatus(String incarnation, String instance, State state) {

    /** State of an incarnation. */
    public enum State {
        RUNNING,
        LEAVING,
        TERMINATED
    }
}
