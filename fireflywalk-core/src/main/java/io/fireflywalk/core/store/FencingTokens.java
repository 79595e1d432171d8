package io.fireflywalk.core.store;

import java.util.Optional;

/**
 * Derives fencing tokens from the era of the store and the version of the lease row. Stateless.
 *
 * <p>A takeover writes the row on condition of its version, which succeeds once for each version of an era. A token that
 * is higher for each later version is therefore never given to two holders of an era, even if a process that does not
 * know the era yet has overwritten the row. A new era begins above all tokens of the one before, whatever the row says.
 */
public final class FencingTokens {
    /**
     * Distance between the tokens of two eras for the same version. It exceeds the transactions that a return can undo:
     * an hour of 4,660 a second. Tokens of eras below 2^28 stay below 2^53, up to which JSON numbers are exact.
     */
    private static final long ERA_STRIDE = 1L << 24;

    private FencingTokens() {}

    /**
     * Returns the token of a takeover.
     *
     * @param era era of the store in which the row was read; empty for a store without eras
     * @param rowToken token in the row, or 0 if there is none
     * @param rowVersion version of the row on whose condition the takeover is written, or 0 if there is none
     */
    public static long ofTakeover(Optional<Long> era, long rowToken, long rowVersion) {
        long successor = rowToken + 1;
        return era.map(number -> Math.max(successor, number * ERA_STRIDE + rowVersion + 1))
                .orElse(successor);
    }
}
