package io.fireflywalk.core.configuration;

import io.fireflywalk.core.membership.MemberSet;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Progress of a durable change towards its acknowledgement. A member is settled when it holds the version or its run
 * has ended. The change is acknowledged when a majority of the members of its version is settled, and every other
 * member either is settled too or has had its freshness limit pass since the majority was. Immutable.
 *
 * @param version version of the change
 * @param members members at that version
 * @param settled incarnations of the settled members
 * @param majoritySince monotonic time at which the majority was known
 * @param expiryNanoseconds time within which a member without a newer check stops serving keyed routes
 */
public record ChangeAcknowledgement(
        long version, MemberSet members, Set<String> settled, OptionalLong majoritySince, long expiryNanoseconds) {

    public ChangeAcknowledgement {
        settled = Set.copyOf(settled);
    }

    /** Returns the state right after the change has become durable. */
    public static ChangeAcknowledgement begin(
            long version, MemberSet members, long freshnessLimitNanoseconds, double clockRateBound, long now) {
        OptionalLong majoritySince = members.size() == 0 ? OptionalLong.of(now) : OptionalLong.empty();
        long expiry = expiry(freshnessLimitNanoseconds, clockRateBound);
        return new ChangeAcknowledgement(version, members, Set.of(), majoritySince, expiry);
    }

    /**
     * Returns the time on any clock after which the limit has passed on every other clock, if the rates of all clocks
     * differ from true time by at most the bound.
     */
    public static long expiry(long limitNanoseconds, double clockRateBound) {
        return (long) Math.ceil(limitNanoseconds * (1 + clockRateBound) / (1 - clockRateBound));
    }

    /** Returns the state after the member was found to hold the version, or to have ended. */
    public ChangeAcknowledgement settled(String incarnation, long now) {
        if (!members.contains(incarnation) || settled.contains(incarnation)) {
            return this;
        }
        Set<String> next = new HashSet<>(settled);
        next.add(incarnation);
        OptionalLong since =
                majoritySince.isEmpty() && members.isMajority(next.size()) ? OptionalLong.of(now) : majoritySince;
        return new ChangeAcknowledgement(version, members, next, since, expiryNanoseconds);
    }

    /** Tells whether a majority is settled; then the next membership change may be made. */
    public boolean hasMajority() {
        return majoritySince.isPresent();
    }

    /** Tells whether no instance can serve keyed routes from an older version any more. */
    public boolean isAcknowledged(long now) {
        return majoritySince.isPresent()
                && (settled.size() == members.size() || now - majoritySince.getAsLong() >= expiryNanoseconds);
    }
}
