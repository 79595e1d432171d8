package io.fireflywalk.core.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which members answered a recent round of heartbeats. A member counts as alive from the moment it joins, and no longer
 * when nothing was heard of it for the window or the platform's list states its end. Confined to one event loop.
 */
public final class LivenessView {
    private final String self;
    private final long windowNanoseconds;
    private final Map<String, Long> lastHeard = new HashMap<>();
    private Set<String> terminated = Set.of();
    private MemberSet members = MemberSet.of(List.of());

    public LivenessView(String self, long windowNanoseconds) {
        this.self = self;
        this.windowNanoseconds = windowNanoseconds;
    }

    /** Replaces the members; new ones count as heard now. */
    public void update(MemberSet newMembers, long now) {
        if (newMembers.fingerprint().equals(members.fingerprint())) {
            return;
        }
        members = newMembers;
        lastHeard.keySet().removeIf(incarnation -> !newMembers.contains(incarnation));
        newMembers.members().forEach(member -> lastHeard.putIfAbsent(member.incarnation(), now));
    }

    /** Replaces the incarnations that the platform's list states as ended. */
    public void updateTerminated(Set<String> newTerminated) {
        terminated = Set.copyOf(newTerminated);
    }

    /** Records that a member was heard. */
    public void heard(String incarnation, long now) {
        lastHeard.computeIfPresent(incarnation, (name, before) -> Math.max(before, now));
    }

    /** Counts a member as silent until it is heard again. */
    public void suspect(String incarnation, long now) {
        lastHeard.computeIfPresent(incarnation, (name, before) -> now - windowNanoseconds);
    }

    /** Tells whether the incarnation counts as alive. */
    public boolean isLive(String incarnation, long now) {
        if (incarnation.equals(self)) {
            return true;
        }
        Long heard = lastHeard.get(incarnation);
        return heard != null && !terminated.contains(incarnation) && now - heard < windowNanoseconds;
    }

    /** Returns the live members, ordered by incarnation. */
    public List<Member> liveMembers(long now) {
        return members.members().stream()
                .filter(member -> isLive(member.incarnation(), now))
                .toList();
    }
}
