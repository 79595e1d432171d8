package io.fireflywalk.core.lease;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

/** Rendezvous hashing: a change of members moves only the keys of the members that changed. Stateless. */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the first members for a key, best first. */
    public static List<String> first(String key, List<String> members, int count) {
        long keyHash = hash(key);
        return members.stream()
                .map(member -> new Weighted(member, mix(keyHash ^ mix(hash(member)))))
                .sorted(Comparator.comparingLong(Weighted::weight).reversed().thenComparing(Weighted::member))
                .limit(count)
                .map(Weighted::member)
                .toList();
    }

    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /** Finalizer of SplitMix64, which spreads nearby inputs over all bits. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    private record Weighted(String member, long weight) {}
}
