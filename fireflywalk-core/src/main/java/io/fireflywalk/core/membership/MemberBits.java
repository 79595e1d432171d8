package io.fireflywalk.core.membership;

import java.util.Base64;
import java.util.BitSet;

/** A subset of a {@link MemberSet}, by position. Immutable. */
public final class MemberBits {
    private static final MemberBits NONE = new MemberBits(new BitSet());

    private final BitSet bits;

    private MemberBits(BitSet bits) {
        this.bits = bits;
    }

    /** Returns the empty subset. */
    public static MemberBits none() {
        return NONE;
    }

    /** Returns the subset of one position. */
    public static MemberBits of(int index) {
        return NONE.with(index);
    }

    /** Returns the subset of an encoded text; throws {@code IllegalArgumentException} if it is malformed. */
    public static MemberBits decode(String text) {
        return new MemberBits(BitSet.valueOf(Base64.getUrlDecoder().decode(text)));
    }

    /** Returns the text form. */
    public String encode() {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bits.toByteArray());
    }

    /** Returns this subset and one more position. */
    public MemberBits with(int index) {
        BitSet next = (BitSet) bits.clone();
        next.set(index);
        return new MemberBits(next);
    }

    /** Returns the union with another subset. */
    public MemberBits union(MemberBits other) {
        BitSet next = (BitSet) bits.clone();
        next.or(other.bits);
        return new MemberBits(next);
    }

    /** Returns the part of this subset whose positions are below the size. */
    public MemberBits below(int size) {
        return new MemberBits(bits.get(0, size));
    }

    /** Tells whether the position belongs to the subset. */
    public boolean contains(int index) {
        return bits.get(index);
    }

    /** Returns the number of positions. */
    public int count() {
        return bits.cardinality();
    }
}
