package io.fireflywalk.core.membership;

import java.util.List;
import java.util.Optional;

/**
 * State of the coordinator of heartbeat rounds. In each round every member is asked for its configuration version. The
 * heartbeats of a round carry the result of the previous round, so one exchange per member and round is enough.
 * Immutable; each event returns the next state.
 */
public final class RoundCoordinator {
    private final String self;
    private final MemberSet members;
    private final long round;
    private final long ownVersion;
    private final MemberSubset answered;
    private final long version;
    private final Optional<RoundResult> previous;
    private final Optional<String> earlier;

    private RoundCoordinator(
            String self,
            MemberSet members,
            long round,
            long ownVersion,
            MemberSubset answered,
            long version,
            Optional<RoundResult> previous,
            Optional<String> earlier) {
        this.self = self;
        this.members = members;
        this.round = round;
        this.ownVersion = ownVersion;
        this.answered = answered;
        this.version = version;
        this.previous = previous;
        this.earlier = earlier;
    }

    /** Returns the state before the first round. */
    public static RoundCoordinator of(String self) {
        return new RoundCoordinator(
                self, MemberSet.of(List.of()), 0, 0, MemberSubset.none(), 0, Optional.empty(), Optional.empty());
    }

    /**
     * Ends the current round and starts the next one. Earlier results are dropped if the members have changed, because
     * their positions refer to the old set.
     */
    public RoundCoordinator startRound(MemberSet newMembers, long newOwnVersion) {
        boolean sameMembers = newMembers.fingerprint().equals(members.fingerprint());
        MemberSubset selfOnly = newMembers.indexOf(self).isPresent()
                ? MemberSubset.of(newMembers.indexOf(self).getAsInt())
                : MemberSubset.none();
        return new RoundCoordinator(
                self,
                newMembers,
                round + 1,
                newOwnVersion,
                selfOnly,
                newOwnVersion,
                sameMembers ? Optional.of(new RoundResult(answered.encode(), version)) : Optional.empty(),
                sameMembers ? previous.map(RoundResult::answered) : Optional.empty());
    }

    /** Records the response of the member at the position; responses to an earlier round are ignored. */
    public RoundCoordinator recordResponse(long answeredRound, int position, RoundResponse response) {
        if (answeredRound != round) {
            return this;
        }
        MemberSubset relayed = MemberSubset.decode(response.answered()).below(members.size());
        return new RoundCoordinator(
                self,
                members,
                round,
                ownVersion,
                answered.union(relayed).with(position),
                Math.max(version, response.version()),
                previous,
                earlier);
    }

    /** Returns the heartbeat of the current round. */
    public RoundRequest request() {
        return new RoundRequest(self, round, members.fingerprint(), ownVersion, List.of(), previous, earlier);
    }

    /** Returns the member set of the current round, to which positions refer. */
    public MemberSet members() {
        return members;
    }

    public long round() {
        return round;
    }
}
