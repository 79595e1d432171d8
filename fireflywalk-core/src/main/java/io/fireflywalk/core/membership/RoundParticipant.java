package io.fireflywalk.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Receipt times of the heartbeats that a member recently received, from which it derives a lower bound for the time of
 * the responses that a later heartbeat reports. A coordinator starts round k only after it has counted the responses of
 * round k - 1. So if this member's response was counted in round k - 1, all responses of round k were sent after it.
 * Immutable.
 */
public final class RoundParticipant {
    /** Enough for three rounds of each of two coordinators after a takeover. */
    private static final int MAXIMUM_RECORDED_HEARTBEATS = 8;

    private final List<ReceivedHeartbeat> heartbeats;

    private RoundParticipant(List<ReceivedHeartbeat> heartbeats) {
        this.heartbeats = List.copyOf(heartbeats);
    }

    /** Returns a participant that has received no heartbeat. */
    public static RoundParticipant create() {
        return new RoundParticipant(List.of());
    }

    /** Records the receipt time of a heartbeat; to be called before the response is sent. */
    public RoundParticipant received(RoundRequest request, long now) {
        if (receiptTime(request.coordinator(), request.round()).isPresent()) {
            return this;
        }
        List<ReceivedHeartbeat> next = new ArrayList<>(heartbeats);
        next.add(new ReceivedHeartbeat(request.coordinator(), request.round(), now));
        return new RoundParticipant(next.subList(Math.max(0, next.size() - MAXIMUM_RECORDED_HEARTBEATS), next.size()));
    }

    /** Returns the evidence in the heartbeat, or empty if there is no majority or no known lower bound of its time. */
    public Optional<Evidence> evidence(RoundRequest request, MemberSet members, String self) {
        OptionalInt position = members.indexOf(self);
        boolean usable = request.memberSet().equals(members.fingerprint())
                && position.isPresent()
                && request.previous().isPresent()
                && request.earlier().isPresent()
                && MemberSubset.decode(request.earlier().get()).contains(position.getAsInt());
        OptionalLong startedAt = receiptTime(request.coordinator(), request.round() - 2);
        if (!usable || startedAt.isEmpty()) {
            return Optional.empty();
        }
        RoundResult result = request.previous().get();
        int count = MemberSubset.decode(result.answered()).below(members.size()).count();
        if (!members.isMajority(count)) {
            return Optional.empty();
        }
        return Optional.of(new Evidence(startedAt.getAsLong(), result.version()));
    }

    private OptionalLong receiptTime(String coordinator, long round) {
        return heartbeats.stream()
                .filter(heartbeat ->
                        heartbeat.round() == round && heartbeat.coordinator().equals(coordinator))
                .mapToLong(ReceivedHeartbeat::receivedAt)
                .findFirst();
    }

    /**
     * Evidence that a majority of the members held no configuration version above the given one at some time after
     * {@code startedAt}.
     *
     * @param startedAt monotonic time after which every counted member responded
     * @param version highest version that any of them held
     */
    public record Evidence(long startedAt, long version) {}

    private record ReceivedHeartbeat(String coordinator, long round, long receivedAt) {}
}
