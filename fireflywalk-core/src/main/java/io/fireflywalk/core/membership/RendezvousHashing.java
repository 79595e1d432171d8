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
                .map(member -> new Weighted<>(member, member.incarnation(), weight(member.incarnation(), unit)))
                .sorted(Weighted.order())
                .limit(count)
                .map(Weighted::value)
                .toList();
    }

    /** Returns at most {@code count} incarnations in the order of their claim to the unit. */
    public static List<String> rankIncarnations(Collection<String> incarnations, String unit, int count) {
        return incarnations.stream()
                .map(incarnation -> new Weighted<>(incarnation, incarnation, weight(incarnation, unit)))
                .sorted(Weighted.order())
                .limit(count)
                .map(Weighted::value)
                .toList();
    }

    /** Returns a well-mixed hash of the text that is the same in every process. */
    public static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        // The finalizer of MurmurHash3 spreads the last characters over all bits, which FNV alone does not.
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }

    private static long weight(String incarnation, String unit) {
        return hash(incarnation + '\n' + unit);
    }

    private record Weighted<T>(T value, String incarnation, long weight) {

        /** Highest weight first; equal weights by incarnation, so that all members agree. */
        static <T> Comparator<Weighted<T>> order() {
            return Comparator.<Weighted<T>>comparingLong(Weighted::weight)
                    .reversed()
                    .thenComparing(Weighted::incarnation);
        }
    }
}
