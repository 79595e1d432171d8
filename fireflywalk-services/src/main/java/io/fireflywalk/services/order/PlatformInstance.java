package io.fireflywalk.services.order;

/**
 * Entry of the platform's list of instances.
 *
 * @param incarnation incarnation of the daemon that runs on the instance
 * @param status status known to the platform
 */
public record PlatformInstance(String incarnation, Status status) {

    /** Status of an instance that is known to the platform. */
    public enum Status {
        /** The instance runs, or its termination is not confirmed. */
        LIVE,
        /** The instance is about to be replaced. */
        LEAVING,
        /** The process and its network interface are permanently gone, so the instance can send nothing more. */
        TERMINATED
    }
}
