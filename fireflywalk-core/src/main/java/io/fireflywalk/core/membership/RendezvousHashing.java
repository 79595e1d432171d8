package io.fireflywalk.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Assigns units to members by highest random weight. A member that comes or goes changes only the units that it gains
 * or loses. Stateless.
 */
public final class RendezvousHashing {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHashing() {}

    /** Returns at most {@code count} members in the order of their claim to the unit. */
    public static List<Member> rank(Collection<Member> members, String unit, int count) {
        return members.stream()
                .sorted(Comparator.comparingLong((Member member) -> weight(member.incarnation(), unit))
                        .reversed()
                        .thenComparing(Member::incarnation))
                .limit(count)
                .toList();
    }

    private static long weight(String incarnation, String unit) {
        long hash = FNV_OFFSET;
        for (int index = 0; index < incarnation.length(); index++) {
            hash = (hash ^ incarnation.charAt(index)) * FNV_PRIME;
        }
        hash = (hash ^ '\n') * FNV_PRIME;
        for (int index = 0; index < unit.length(); index++) {
            hash = (hash ^ unit.charAt(index)) * FNV_PRIME;
        }
        // The finalizer of MurmurHash3 spreads the last characters over all bits, which FNV alone does not.
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
