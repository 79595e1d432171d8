package io.fireflywalk.core.membership;

/**
 * One run of the daemon process. A restart gives it a new incarnation, and so makes it a new member.
 *
 * @param incarnation unique identifier of this run
 * @param instance name of the instance
 * @param region region of the instance
 * @param availabilityZone availability zone of the instance
 * @param host IP address
 * @param peerPort TCP port on which it accepts connections of peers
 */
public record Member(
        String incarnation, String instance, String region, String availabilityZone, String host, int peerPort) {

    /** Returns a copy with another peer port. */
    public Member withPeerPort(int newPeerPort) {
        return new Member(incarnation, instance, region, availabilityZone, host, newPeerPort);
    }
}
