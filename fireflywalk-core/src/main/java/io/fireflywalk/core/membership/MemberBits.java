package io.fireflywalk.core.membership;

import java.util.Base64;
import java.util.BitSet;

/** Subset of a {@link MemberSet}, stored as a bit set of member positions. Immutable. */
public final class MemberBits {
    private static final MemberBits EMPTY = new MemberBits(new BitSet());

    private final BitSet bits;

    private MemberBits(BitSet bits) {
        this.bits = bits;
    }

    public static MemberBits none() {
        return EMPTY;
    }

    /** Returns the subset that contains a single position. */
    public static MemberBits of(int index) {
        return EMPTY.with(index);
    }

    /** Decodes the form of {@link #encode}; throws {@code IllegalArgumentException} if it is malformed. */
    public static MemberBits decode(String text) {
        return new MemberBits(BitSet.valueOf(Base64.getUrlDecoder().decode(text)));
    }

    /** Encodes the subset as URL-safe Base64 without padding. */
    public String encode() {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bits.toByteArray());
    }

    /** Returns this subset with one position added. */
    public MemberBits with(int index) {
        BitSet copy = (BitSet) bits.clone();
        copy.set(index);
        return new MemberBits(copy);
    }

    /** Returns the union with another subset. */
    public MemberBits union(MemberBits other) {
        BitSet copy = (BitSet) bits.clone();
        copy.or(other.bits);
        return new MemberBits(copy);
    }

    /** Returns the positions of this subset that are below the size. */
    public MemberBits below(int size) {
        return new MemberBits(bits.get(0, size));
    }

    public boolean contains(int index) {
        return bits.get(index);
    }

    /** Returns the number of positions in the subset. */
    public int count() {
        return bits.cardinality();
    }
}
