package io.fireflywalk.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Assigns units to members by rendezvous hashing (highest random weight). When a member joins or leaves, only the units
 * that it gains or loses are reassigned. Stateless.
 */
public final class RendezvousHashing {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHashing() {}

    /** Returns at most {@code count} members, those with the highest weights for the unit, highest first. */
    public static List<Member> rank(Collection<Member> members, String unit, int count) {
        return members.stream()
                .map(member -> new Weighted<>(member, member.incarnation(), weight(member.incarnation(), unit)))
                .sorted(Weighted.byDescendingWeight())
                .limit(count)
                .map(Weighted::value)
                .toList();
    }

    /** Returns at most {@code count} incarnations, those with the highest weights for the unit, highest first. */
    public static List<String> rankIncarnations(Collection<String> incarnations, String unit, int count) {
        return incarnations.stream()
                .map(incarnation -> new Weighted<>(incarnation, incarnation, weight(incarnation, unit)))
                .sorted(Weighted.byDescendingWeight())
                .limit(count)
                .map(Weighted::value)
                .toList();
    }

    /** Returns a hash of the text with good avalanche behaviour that is the same in every process. */
    public static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        // MurmurHash3 finalizer: FNV alone does not propagate the last characters to all bits.
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }

    private static long weight(String incarnation, String unit) {
        return hash(incarnation + '\n' + unit);
    }

    private record Weighted<T>(T value, String incarnation, long weight) {

        /** Highest weight first; ties are broken by incarnation, so that all members agree. */
        static <T> Comparator<Weighted<T>> byDescendingWeight() {
            return Comparator.<Weighted<T>>comparingLong(Weighted::weight)
                    .reversed()
                    .thenComparing(Weighted::incarnation);
        }
    }
}
