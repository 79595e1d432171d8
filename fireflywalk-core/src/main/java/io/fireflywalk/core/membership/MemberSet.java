package io.fireflywalk.core.membership;

import io.fireflywalk.core.security.SecretDigest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;

/** Set of members, ordered by incarnation. Immutable, so safe to share between threads. */
public final class MemberSet {
    private static final int FINGERPRINT_CHARACTERS = 16;

    private final List<Member> members;
    private final Map<String, Integer> positions = new HashMap<>();
    private final String fingerprint;

    private MemberSet(List<Member> members) {
        this.members = members;
        for (int index = 0; index < members.size(); index++) {
            positions.put(members.get(index).incarnation(), index);
        }
        String incarnations = members.stream().map(Member::incarnation).collect(Collectors.joining("\n"));
        this.fingerprint = SecretDigest.of(incarnations).substring(0, FINGERPRINT_CHARACTERS);
    }

    public static MemberSet of(Collection<Member> members) {
        List<Member> ordered = new ArrayList<>(members);
        ordered.sort(Comparator.comparing(Member::incarnation));
        return new MemberSet(List.copyOf(ordered));
    }

    /** Returns the members, ordered by incarnation. */
    public List<Member> members() {
        return members;
    }

    /** Returns a hash of all incarnations, which identifies the set. */
    public String fingerprint() {
        return fingerprint;
    }

    public int size() {
        return members.size();
    }

    /** Returns the position of an incarnation in the order, or empty if it is not a member. */
    public OptionalInt indexOf(String incarnation) {
        Integer index = positions.get(incarnation);
        return index == null ? OptionalInt.empty() : OptionalInt.of(index);
    }

    public Optional<Member> member(String incarnation) {
        return Optional.ofNullable(positions.get(incarnation)).map(members::get);
    }

    public boolean contains(String incarnation) {
        return positions.containsKey(incarnation);
    }

    /** Returns whether the count is more than half of the members. */
    public boolean isMajority(int count) {
        return 2 * count > members.size();
    }
}
