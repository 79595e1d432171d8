package io.fireflywalk.core.routing;

import java.util.Arrays;

/**
 * Hashes of the prefixes of a prompt at increasing lengths. Two prompts with the same hash at a length are assumed to
 * share that prefix; a collision affects latency but not correctness, because the engine compares the tokens.
 * Immutable.
 */
public final class PrefixHashes {
    private static final PrefixHashes EMPTY = new PrefixHashes(new long[0], new int[0]);
    private static final int SHORTEST_PREFIX_TOKENS = 512;
    /** Ratio of successive prefix lengths; at this ratio, on average a tenth of a shared prefix is not recognised. */
    private static final double PREFIX_LENGTH_RATIO = 1.25;

    private static final int BYTES_PER_TOKEN = 4;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final long[] hashes;
    private final int[] tokens;

    private PrefixHashes(long[] hashes, int[] tokens) {
        this.hashes = hashes;
        this.tokens = tokens;
    }

    /** Returns the hashes of a prompt that is too short for prefix matching. */
    public static PrefixHashes empty() {
        return EMPTY;
    }

    /** Returns the hashes of a request body, at an assumed {@value #BYTES_PER_TOKEN} bytes per token. */
    public static PrefixHashes of(byte[] body) {
        int count = prefixCount(body.length / BYTES_PER_TOKEN);
        long[] hashes = new long[count];
        int[] tokens = new int[count];
        long hash = FNV_OFFSET;
        int position = 0;
        for (int i = 0; i < count; i++) {
            tokens[i] = prefixTokens(i);
            for (; position < tokens[i] * BYTES_PER_TOKEN; position++) {
                hash = (hash ^ body[position]) * FNV_PRIME;
            }
            hashes[i] = hash;
        }
        return new PrefixHashes(hashes, tokens);
    }

    /** Returns the hashes of a simulated prompt whose shared prefix is given by an identifier and its length. */
    public static PrefixHashes ofSimulatedPrefix(long identifier, int sharedTokens) {
        int count = prefixCount(sharedTokens);
        long[] hashes = new long[count];
        int[] tokens = new int[count];
        for (int i = 0; i < count; i++) {
            tokens[i] = prefixTokens(i);
            hashes[i] = mix(identifier * FNV_PRIME + i);
        }
        return new PrefixHashes(hashes, tokens);
    }

    /** Returns the number of prefixes. */
    public int size() {
        return hashes.length;
    }

    /** Returns the hash of the prefix at an index; prefixes are ordered by increasing length. */
    public long hash(int index) {
        return hashes[index];
    }

    /** Returns the length of the prefix at an index, in tokens. */
    public int tokens(int index) {
        return tokens[index];
    }

    /** Applies the SplitMix64 finalizer to a hash. */
    static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    private static int prefixCount(int length) {
        int count = 0;
        while (prefixTokens(count) <= length) {
            count++;
        }
        return count;
    }

    private static int prefixTokens(int index) {
        return (int) (SHORTEST_PREFIX_TOKENS * Math.pow(PREFIX_LENGTH_RATIO, index));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PrefixHashes that && Arrays.equals(hashes, that.hashes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(hashes);
    }
}
