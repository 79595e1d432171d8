package io.fireflywalk.core.membership;

/**
 * One run of the daemon. A restarted process is a new incarnation and a new member.
 *
 * @param incarnation unique identifier of this run
 * @param instance name of the instance
 * @param region region of the instance
 * @param availabilityZone availability zone of the instance
 * @param host IP address
 * @param peerPort TCP port for peers
 */
public record Member(
        String incarnation, String instance, String region, String availabilityZone, String host, int peerPort) {

    /** Returns the same member at another port. */
    public Member withPeerPort(int newPeerPort) {
        return new Member(incarnation, instance, region, availabilityZone, host, newPeerPort);
    }
}
