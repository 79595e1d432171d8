package io.fireflywalk.core.lease;

import java.util.Optional;

/**
 * Content of a lease row. Rows are never deleted, because the fencing token must not restart.
 *
 * @param holder incarnation of the holder; empty after a voluntary release
 * @param token fencing token, incremented by each acquisition
 * @param durationMilliseconds how long the holder may act after sending a renewal; observers wait at least as long
 */
public record LeaseRecord(Optional<String> holder, long token, long durationMilliseconds) {

    /** Returns the record after an acquisition by a process. */
    public static LeaseRecord takenOver(Optional<LeaseRecord> previous, String incarnation, long durationMilliseconds) {
        long token = previous.map(LeaseRecord::token).orElse(0L) + 1;
        return new LeaseRecord(Optional.of(incarnation), token, durationMilliseconds);
    }

    /** Returns the record after a voluntary release. The token is kept. */
    public LeaseRecord released() {
        return new LeaseRecord(Optional.empty(), token, durationMilliseconds);
    }

    /** Tells whether a process holds the lease with a token. */
    public boolean isHeldBy(String incarnation, long expectedToken) {
        return token == expectedToken && holder.filter(incarnation::equals).isPresent();
    }
}
