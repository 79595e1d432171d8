package io.fireflywalk.core.lease;

import java.util.OptionalLong;

/**
 * Holder's view of its lease. A lease of unknown outcome is adopted without validity and needs a renewal first.
 *
 * @param unit unit of authority
 * @param record content of the row as last written by this process
 * @param version version of the row as last known
 * @param sentAt monotonic nanoseconds at which the last successful write was sent; empty if nothing is valid
 */
public record HeldLease(LeaseUnit unit, LeaseRecord record, long version, OptionalLong sentAt) {

    /** Returns the lease after a successful takeover. */
    public static HeldLease takenOver(LeaseUnit unit, LeaseRecord record, long version, long sentAt) {
        return new HeldLease(unit, record, version, OptionalLong.of(sentAt));
    }

    /** Returns a lease that the row shows but whose time of writing is not known. */
    public static HeldLease adopted(LeaseUnit unit, LeaseRecord record, long version) {
        return new HeldLease(unit, record, version, OptionalLong.empty());
    }

    /** Returns the lease after a renewal that was sent at the given time and succeeded. */
    public HeldLease renewed(long renewalSentAt) {
        return new HeldLease(unit, record, version + 1, OptionalLong.of(renewalSentAt));
    }

    /** Returns the lease with the row version found by a read; its validity is not extended. */
    public HeldLease atVersion(long foundVersion) {
        return new HeldLease(unit, record, foundVersion, sentAt);
    }

    /** Returns the nanoseconds for which the holder may still begin requests; not positive if it may not. */
    public long remaining(LeaseTerms terms, long now) {
        if (sentAt.isEmpty()) {
            return 0;
        }
        return terms.holderNanoseconds() - (now - sentAt.getAsLong());
    }

    /** Tells whether the holder may begin a request now. */
    public boolean isValid(LeaseTerms terms, long now) {
        return remaining(terms, now) > 0;
    }
}
