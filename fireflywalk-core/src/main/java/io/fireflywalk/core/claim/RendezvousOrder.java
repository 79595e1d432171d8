package io.fireflywalk.core.claim;

import io.fireflywalk.core.membership.Member;
import java.util.Comparator;
import java.util.List;

/** Orders members by rendezvous hashing, so that a change of membership moves only the changed member's subjects. */
public final class RendezvousOrder {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousOrder() {}

    /** Returns the members with the subject's first owner first. */
    public static List<Member> of(String subject, List<Member> members) {
        return members.stream()
                .sorted(Comparator.comparingLong((Member member) -> hash(subject + '\n' + member.incarnation()))
                        .thenComparing(Member::incarnation))
                .toList();
    }

    /** Returns a well-mixed hash of the text. */
    public static long hash(String text) {
        long value = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            value = (value ^ text.charAt(i)) * FNV_PRIME;
        }
        value = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        value = (value ^ (value >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return value ^ (value >>> 33);
    }
}
