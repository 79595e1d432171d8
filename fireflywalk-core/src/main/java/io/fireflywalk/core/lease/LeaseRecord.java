package io.fireflywalk.core.lease;

import java.util.Optional;

/**
 * Content of a lease row. The row is never removed, because its token must not start again.
 *
 * @param holder incarnation of the holder; empty after a voluntary release
 * @param token fencing token; each takeover raises it by one
 * @param durationMilliseconds how long the holder may act after it sent a renewal; an observer waits at least as long
 */
public record LeaseRecord(Optional<String> holder, long token, long durationMilliseconds) {

    /** Returns the record after a takeover by a process. */
    public static LeaseRecord takenOver(Optional<LeaseRecord> previous, String incarnation, long durationMilliseconds) {
        long token = previous.map(LeaseRecord::token).orElse(0L) + 1;
        return new LeaseRecord(Optional.of(incarnation), token, durationMilliseconds);
    }

    /** Returns the record after a voluntary release, which keeps the token. */
    public LeaseRecord released() {
        return new LeaseRecord(Optional.empty(), token, durationMilliseconds);
    }

    /** Tells whether a process holds the row under a token. */
    public boolean isHeldBy(String incarnation, long expectedToken) {
        return token == expectedToken && holder.filter(incarnation::equals).isPresent();
    }
}
