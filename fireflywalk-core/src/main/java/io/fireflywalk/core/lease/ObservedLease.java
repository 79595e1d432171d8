package io.fireflywalk.core.lease;

import java.util.Optional;

/**
 * Candidate's view of a lease that another process holds or nobody holds.
 *
 * @param unit unit of authority
 * @param record content of the row; empty if it does not exist
 * @param version version of the row; 0 if it does not exist
 * @param firstSeen monotonic nanoseconds when the answer that first showed this version had arrived. The time of
 *     sending the read would be too early, because the version may have been written after it.
 */
public record ObservedLease(LeaseUnit unit, Optional<LeaseRecord> record, long version, long firstSeen) {

    /** Returns the view after a read; the waiting time starts again if the version is another one. */
    public static ObservedLease observe(
            Optional<ObservedLease> previous, LeaseUnit unit, Optional<LeaseRecord> record, long version, long now) {
        return previous.filter(seen -> seen.version == version)
                .orElseGet(() -> new ObservedLease(unit, record, version, now));
    }

    /** Returns the nanoseconds until a takeover is allowed; not positive if it is allowed now. */
    public long untilTakeover(LeaseTerms terms, long now) {
        return record.filter(seen -> seen.holder().isPresent())
                .map(seen -> terms.observerNanoseconds(unit, seen) - (now - firstSeen))
                .orElse(0L);
    }
}
