package io.fireflywalk.core.membership;

import java.util.List;
import java.util.Optional;

/**
 * Heartbeat from a coordinator to a member, sent directly or forwarded by a relay.
 *
 * @param coordinator incarnation of the coordinator
 * @param round number of the round; incremented by the coordinator
 * @param memberSet fingerprint of the coordinator's member set, to which all positions refer
 * @param version configuration version that the coordinator holds
 * @param relay positions of the members to which the receiver forwards the heartbeat
 * @param previous result of the previous round
 * @param earlier encoded {@link MemberSubset} of the members that responded in the round before the previous one
 */
public record RoundRequest(
        String coordinator,
        long round,
        String memberSet,
        long version,
        List<Integer> relay,
        Optional<RoundResult> previous,
        Optional<String> earlier) {

    public RoundRequest {
        relay = List.copyOf(relay);
    }

    /** Returns a copy that the receiver does not forward. */
    public RoundRequest withoutRelay() {
        return new RoundRequest(coordinator, round, memberSet, version, List.of(), previous, earlier);
    }

    /** Returns a copy that the receiver forwards to the members at the positions. */
    public RoundRequest withRelay(List<Integer> positions) {
        return new RoundRequest(coordinator, round, memberSet, version, positions, previous, earlier);
    }
}
