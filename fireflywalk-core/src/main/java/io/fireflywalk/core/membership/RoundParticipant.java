package io.fireflywalk.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a member remembers of the rounds that it answered, to date the evidence that later rounds bring. The answers of
 * round k are given after its coordinator began it, hence after every answer that it had counted in round k - 1. So if
 * this member's own answer was counted in round k - 1, all answers of round k are younger than that own answer.
 * Immutable.
 */
public final class RoundParticipant {
    /** Enough for three rounds of each of two coordinators after a takeover. */
    private static final int REMEMBERED_ANSWERS = 8;

    private final List<AnsweredRound> recent;

    private RoundParticipant(List<AnsweredRound> recent) {
        this.recent = List.copyOf(recent);
    }

    /** Returns a participant that has answered nothing. */
    public static RoundParticipant create() {
        return new RoundParticipant(List.of());
    }

    /** Records that the heartbeat was received at the time, before it is answered. */
    public RoundParticipant received(RoundRequest request, long now) {
        if (timeOf(request.coordinator(), request.round()).isPresent()) {
            return this;
        }
        List<AnsweredRound> next = new ArrayList<>(recent);
        next.add(new AnsweredRound(request.coordinator(), request.round(), now));
        return new RoundParticipant(next.subList(Math.max(0, next.size() - REMEMBERED_ANSWERS), next.size()));
    }

    /** Returns the evidence in the heartbeat, if this member can date it. */
    public Optional<Evidence> evidence(RoundRequest request, MemberSet members, String self) {
        OptionalInt position = members.indexOf(self);
        boolean usable = request.memberSet().equals(members.fingerprint())
                && position.isPresent()
                && request.previous().isPresent()
                && request.earlier().isPresent()
                && MemberBits.decode(request.earlier().get()).contains(position.getAsInt());
        OptionalLong began = timeOf(request.coordinator(), request.round() - 2);
        if (!usable || began.isEmpty()) {
            return Optional.empty();
        }
        RoundResult result = request.previous().get();
        int count = MemberBits.decode(result.answered()).below(members.size()).count();
        if (!members.isMajority(count)) {
            return Optional.empty();
        }
        return Optional.of(new Evidence(began.getAsLong(), result.version()));
    }

    private OptionalLong timeOf(String coordinator, long round) {
        return recent.stream()
                .filter(answer ->
                        answer.round() == round && answer.coordinator().equals(coordinator))
                .mapToLong(AnsweredRound::receivedAt)
                .findFirst();
    }

    /**
     * Proof that a majority held no version above the given one after the given time.
     *
     * @param began monotonic time after which every counted member answered
     * @param version highest version that any of them held
     */
    public record Evidence(long began, long version) {}

    private record AnsweredRound(String coordinator, long round, long receivedAt) {}
}
