package io.fireflywalk.core.membership;

import java.util.Base64;
import java.util.BitSet;

/** Subset of a {@link MemberSet}, stored as a bit set of member positions. Immutable. */
public final class MemberSubset {
    private static final MemberSubset EMPTY = new MemberSubset(new BitSet());

    private final BitSet bits;

    private MemberSubset(BitSet bits) {
        this.bits = bits;
    }

    public static MemberSubset none() {
        return EMPTY;
    }

    /** Returns the subset that contains a single position. */
    public static MemberSubset of(int index) {
        return EMPTY.with(index);
    }

    /** Decodes the form of {@link #encode}; throws {@code IllegalArgumentException} if it is malformed. */
    public static MemberSubset decode(String text) {
        return new MemberSubset(BitSet.valueOf(Base64.getUrlDecoder().decode(text)));
    }

    /** Encodes the subset as URL-safe Base64 without padding. */
    public String encode() {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bits.toByteArray());
    }

    /** Returns this subset with one position added. */
    public MemberSubset with(int index) {
        BitSet copy = (BitSet) bits.clone();
        copy.set(index);
        return new MemberSubset(copy);
    }

    /** Returns the union with another subset. */
    public MemberSubset union(MemberSubset other) {
        BitSet copy = (BitSet) bits.clone();
        copy.or(other.bits);
        return new MemberSubset(copy);
    }

    /** Returns the positions of this subset that are below the size. */
    public MemberSubset below(int size) {
        return new MemberSubset(bits.get(0, size));
    }

    public boolean contains(int index) {
        return bits.get(index);
    }

    /** Returns the number of positions in the subset. */
    public int count() {
        return bits.cardinality();
    }
}
