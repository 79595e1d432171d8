package io.fireflywalk.core.lease;

import java.util.OptionalLong;

/**
 * The holder's view of its lease. If the outcome of the acquiring write was unknown and the row later shows this
 * process as holder, the lease is adopted as not valid and must be renewed before use.
 *
 * @param unit what the lease grants authority over
 * @param record row content last written by this process
 * @param version last known version of the row
 * @param sentAt monotonic time in nanoseconds at which the last successful write was sent; empty if the lease is not
 *     valid
 */
public record HeldLease(LeaseUnit unit, LeaseRecord record, long version, OptionalLong sentAt) {

    /** Returns the lease after its acquisition. */
    public static HeldLease takenOver(LeaseUnit unit, LeaseRecord record, long version, long sentAt) {
        return new HeldLease(unit, record, version, OptionalLong.of(sentAt));
    }

    /** Returns a lease whose row names this process as holder, but whose write time is unknown. */
    public static HeldLease adopted(LeaseUnit unit, LeaseRecord record, long version) {
        return new HeldLease(unit, record, version, OptionalLong.empty());
    }

    /** Returns the lease after a successful renewal that was sent at the given time. */
    public HeldLease renewed(long renewalSentAt) {
        return new HeldLease(unit, record, version + 1, OptionalLong.of(renewalSentAt));
    }

    /** Returns the lease with the row version that a read returned. Does not extend the validity. */
    public HeldLease withVersion(long currentVersion) {
        return new HeldLease(unit, record, currentVersion, sentAt);
    }

    /** Returns the nanoseconds for which the holder may still start requests; zero or negative if it may not. */
    public long remaining(LeaseTerms terms, long now) {
        if (sentAt.isEmpty()) {
            return 0;
        }
        return terms.holderValidityNanoseconds() - (now - sentAt.getAsLong());
    }

    /** Tells whether the holder may start a request now. */
    public boolean isValid(LeaseTerms terms, long now) {
        return remaining(terms, now) > 0;
    }
}
