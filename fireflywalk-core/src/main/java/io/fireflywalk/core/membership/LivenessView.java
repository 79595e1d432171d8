package io.fireflywalk.core.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which members took part in recent heartbeat rounds. A member is considered alive from when it joins until
 * either it gave no sign of life for the window or the platform reports it as terminated. Not thread-safe; used from
 * one event loop.
 */
public final class LivenessView {
    private final String self;
    private final long windowNanoseconds;
    private final Map<String, Long> lastSeenAt = new HashMap<>();
    private Set<String> terminated = Set.of();
    private MemberSet members = MemberSet.of(List.of());

    public LivenessView(String self, long windowNanoseconds) {
        this.self = self;
        this.windowNanoseconds = windowNanoseconds;
    }

    /** Replaces the members; new ones are recorded as seen now. */
    public void update(MemberSet newMembers, long now) {
        if (newMembers.fingerprint().equals(members.fingerprint())) {
            return;
        }
        members = newMembers;
        lastSeenAt.keySet().removeIf(incarnation -> !newMembers.contains(incarnation));
        newMembers.members().forEach(member -> lastSeenAt.putIfAbsent(member.incarnation(), now));
    }

    /** Replaces the incarnations that the platform reports as terminated. */
    public void updateTerminated(Set<String> newTerminated) {
        terminated = Set.copyOf(newTerminated);
    }

    /** Records a sign of life of a member. */
    public void recordActivity(String incarnation, long now) {
        lastSeenAt.computeIfPresent(incarnation, (key, previous) -> Math.max(previous, now));
    }

    /** Considers a member dead until its next sign of life. */
    public void suspect(String incarnation, long now) {
        lastSeenAt.computeIfPresent(incarnation, (key, previous) -> now - windowNanoseconds);
    }

    /** Returns whether the incarnation is considered alive. */
    public boolean isLive(String incarnation, long now) {
        if (incarnation.equals(self)) {
            return true;
        }
        Long seenAt = lastSeenAt.get(incarnation);
        return seenAt != null && !terminated.contains(incarnation) && now - seenAt < windowNanoseconds;
    }

    /** Returns the live members, ordered by incarnation. */
    public List<Member> liveMembers(long now) {
        return members.members().stream()
                .filter(member -> isLive(member.incarnation(), now))
                .toList();
    }
}
