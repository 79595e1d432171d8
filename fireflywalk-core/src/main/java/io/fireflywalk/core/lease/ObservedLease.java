package io.fireflywalk.core.lease;

import java.util.Optional;

/**
 * A candidate's view of a lease that is free or held by another process.
 *
 * @param unit what the lease grants authority over
 * @param record content of the row; empty if it does not exist
 * @param version version of the row; 0 if it does not exist
 * @param firstSeen monotonic time in nanoseconds at which the response that first showed this version arrived. The
 *     send time of the read would be too early, because the version may have been written after it.
 */
public record ObservedLease(LeaseUnit unit, Optional<LeaseRecord> record, long version, long firstSeen) {

    /** Returns the view after a read. A changed version restarts the wait. */
    public static ObservedLease observe(
            Optional<ObservedLease> previous, LeaseUnit unit, Optional<LeaseRecord> record, long version, long now) {
        return previous.filter(seen -> seen.version == version)
                .orElseGet(() -> new ObservedLease(unit, record, version, now));
    }

    /** Returns the nanoseconds until a takeover is allowed; zero or negative if it is allowed now. */
    public long untilTakeover(LeaseTerms terms, long now) {
        return record.filter(seen -> seen.holder().isPresent())
                .map(seen -> terms.takeoverWaitNanoseconds(unit, seen) - (now - firstSeen))
                .orElse(0L);
    }
}
