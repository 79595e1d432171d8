package io.fireflywalk.core.configuration;

import io.fireflywalk.core.membership.MemberSet;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Progress of a durable configuration change towards its acknowledgement. A member is settled once it holds the version
 * or its process has ended. The change is acknowledged once all members are settled, or once a majority of them is
 * settled and the freshness limit of the others has expired since. Membership is that of the change's own version.
 * Immutable.
 *
 * @param version version of the change
 * @param members members at that version
 * @param settled incarnations of the settled members
 * @param majoritySince monotonic time at which a majority was first known to be settled
 * @param expiryNanoseconds time after which a member without a newer freshness check no longer serves routes that
 *     require a key
 */
public record ChangeAcknowledgement(
        long version, MemberSet members, Set<String> settled, OptionalLong majoritySince, long expiryNanoseconds) {

    public ChangeAcknowledgement {
        settled = Set.copyOf(settled);
    }

    /** Returns the initial state, for a change that has just become durable. */
    public static ChangeAcknowledgement begin(
            long version, MemberSet members, long freshnessLimitNanoseconds, double clockRateBound, long now) {
        OptionalLong majoritySince = members.size() == 0 ? OptionalLong.of(now) : OptionalLong.empty();
        long expiry = expiryWithClockDrift(freshnessLimitNanoseconds, clockRateBound);
        return new ChangeAcknowledgement(version, members, Set.of(), majoritySince, expiry);
    }

    /**
     * Returns the time to wait on the local clock so that the limit has passed on every other clock, if no clock's rate
     * deviates from true time by more than the bound.
     */
    public static long expiryWithClockDrift(long limitNanoseconds, double clockRateBound) {
        return (long) Math.ceil(limitNanoseconds * (1 + clockRateBound) / (1 - clockRateBound));
    }

    /** Returns the state after a member was found to hold the version or to have ended. */
    public ChangeAcknowledgement markSettled(String incarnation, long now) {
        if (!members.contains(incarnation) || settled.contains(incarnation)) {
            return this;
        }
        Set<String> newSettled = new HashSet<>(settled);
        newSettled.add(incarnation);
        OptionalLong since =
                majoritySince.isEmpty() && members.isMajority(newSettled.size()) ? OptionalLong.of(now) : majoritySince;
        return new ChangeAcknowledgement(version, members, newSettled, since, expiryNanoseconds);
    }

    /** Tells whether a majority is settled, which permits the next membership change. */
    public boolean hasMajority() {
        return majoritySince.isPresent();
    }

    /** Tells whether no instance can still serve routes that require a key from an older version. */
    public boolean isAcknowledged(long now) {
        return majoritySince.isPresent()
                && (settled.size() == members.size() || now - majoritySince.getAsLong() >= expiryNanoseconds);
    }
}
