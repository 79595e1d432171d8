package io.fireflywalk.services.order;

/**
 * Instance as the platform's list shows it.
 *
 * @param incarnation incarnation of the daemon on it
 * @param status what the platform knows about it
 */
public record PlatformInstance(String incarnation, Status status) {

    /** What the platform knows about an instance. */
    public enum Status {
        /** The instance runs, or its end is not proven. */
        LIVE,
        /** The instance is about to be replaced. */
        LEAVING,
        /** The process and its network interface have ended for good; proof that it sends nothing any more. */
        TERMINATED
    }
}
