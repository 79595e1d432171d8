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

/** The members of one membership, ordered by incarnation. Immutable, so safe to share between threads. */
public final class MemberSet {
    private static final int FINGERPRINT_CHARACTERS = 16;

    private final List<Member> members;
    private final Map<String, Integer> indexes = new HashMap<>();
    private final String fingerprint;

    private MemberSet(List<Member> members) {
        this.members = members;
        for (int index = 0; index < members.size(); index++) {
            indexes.put(members.get(index).incarnation(), index);
        }
        String names = members.stream().map(Member::incarnation).collect(Collectors.joining("\n"));
        this.fingerprint = SecretDigest.of(names).substring(0, FINGERPRINT_CHARACTERS);
    }

    /** Returns the set of the members. */
    public static MemberSet of(Collection<Member> members) {
        List<Member> ordered = new ArrayList<>(members);
        ordered.sort(Comparator.comparing(Member::incarnation));
        return new MemberSet(List.copyOf(ordered));
    }

    /** Returns the members, ordered by incarnation. */
    public List<Member> members() {
        return members;
    }

    /** Returns a digest that is equal for equal sets only. */
    public String fingerprint() {
        return fingerprint;
    }

    /** Returns the number of members. */
    public int size() {
        return members.size();
    }

    /** Returns the position of an incarnation. */
    public OptionalInt indexOf(String incarnation) {
        Integer index = indexes.get(incarnation);
        return index == null ? OptionalInt.empty() : OptionalInt.of(index);
    }

    /** Returns the member of an incarnation. */
    public Optional<Member> member(String incarnation) {
        return Optional.ofNullable(indexes.get(incarnation)).map(members::get);
    }

    /** Tells whether the incarnation is a member. */
    public boolean contains(String incarnation) {
        return indexes.containsKey(incarnation);
    }

    /** Tells whether the number of members is more than half of the set. */
    public boolean isMajority(int count) {
        return 2 * count > members.size();
    }
}
