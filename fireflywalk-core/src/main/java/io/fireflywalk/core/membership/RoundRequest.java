package io.fireflywalk.core.membership;

import java.util.List;
import java.util.Optional;

/**
 * Heartbeat of a coordinator to a member, directly or through a relay.
 *
 * @param coordinator incarnation of the coordinator
 * @param round number of the round, counted by the coordinator
 * @param memberSet fingerprint of the coordinator's member set, to which all positions refer
 * @param version configuration version that the coordinator holds
 * @param relay positions of the members to which the receiver passes the heartbeat on
 * @param previous result of the round before
 * @param earlier members that answered the round before the previous one
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

    /** Returns the same heartbeat without members to pass it on to. */
    public RoundRequest withoutRelay() {
        return new RoundRequest(coordinator, round, memberSet, version, List.of(), previous, earlier);
    }

    /** Returns the same heartbeat with the members to pass it on to. */
    public RoundRequest withRelay(List<Integer> positions) {
        return new RoundRequest(coordinator, round, memberSet, version, positions, previous, earlier);
    }
}
