package io.fireflywalk.core.routing;

import java.util.Arrays;

/**
 * Hashes of the beginnings of a prompt at growing lengths. Two prompts with the same hash at a length are taken to share
 * that prefix; a collision costs time, never correctness, because the engine compares the tokens. Immutable.
 */
public final class PrefixDigest {
    private static final PrefixDigest EMPTY = new PrefixDigest(new long[0], new int[0]);
    private static final int FIRST_BOUNDARY_TOKENS = 512;
    /** Ratio of successive lengths; on average a tenth of a shared prefix is not recognised. */
    private static final double BOUNDARY_RATIO = 1.25;

    private static final int BYTES_PER_TOKEN = 4;
    private static final long HASH_SEED = 0xcbf29ce484222325L;
    private static final long HASH_PRIME = 0x100000001b3L;

    private final long[] hashes;
    private final int[] tokens;

    private PrefixDigest(long[] hashes, int[] tokens) {
        this.hashes = hashes;
        this.tokens = tokens;
    }

    /** Returns the digest of a prompt that is too short to be worth remembering. */
    public static PrefixDigest empty() {
        return EMPTY;
    }

    /** Returns the digest of a request body. */
    public static PrefixDigest of(byte[] body) {
        int count = boundaries(body.length / BYTES_PER_TOKEN);
        long[] hashes = new long[count];
        int[] tokens = new int[count];
        long hash = HASH_SEED;
        int position = 0;
        for (int i = 0; i < count; i++) {
            tokens[i] = boundary(i);
            for (; position < tokens[i] * BYTES_PER_TOKEN; position++) {
                hash = (hash ^ body[position]) * HASH_PRIME;
            }
            hashes[i] = hash;
        }
        return new PrefixDigest(hashes, tokens);
    }

    /** Returns the digest of a prompt of which the first tokens are known by an identifier, for simulations. */
    public static PrefixDigest ofShared(long identifier, int sharedTokens) {
        int count = boundaries(sharedTokens);
        long[] hashes = new long[count];
        int[] tokens = new int[count];
        for (int i = 0; i < count; i++) {
            tokens[i] = boundary(i);
            hashes[i] = mix(identifier * HASH_PRIME + i);
        }
        return new PrefixDigest(hashes, tokens);
    }

    /** Returns the number of lengths. */
    public int size() {
        return hashes.length;
    }

    /** Returns the hash of the prefix at an index; a higher index means a longer prefix. */
    public long hash(int index) {
        return hashes[index];
    }

    /** Returns the length of the prefix at an index, in tokens. */
    public int tokens(int index) {
        return tokens[index];
    }

    /** Returns a well mixed value of a hash. */
    static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    private static int boundaries(int length) {
        int count = 0;
        while (boundary(count) <= length) {
            count++;
        }
        return count;
    }

    private static int boundary(int index) {
        return (int) (FIRST_BOUNDARY_TOKENS * Math.pow(BOUNDARY_RATIO, index));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PrefixDigest digest && Arrays.equals(hashes, digest.hashes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(hashes);
    }
}
