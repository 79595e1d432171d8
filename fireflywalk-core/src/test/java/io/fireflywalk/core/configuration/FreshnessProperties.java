package io.fireflywalk.core.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.membership.MemberSet;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.AfterContainer;

/** Guards against an instance that serves requests with an API key after its revocation was acknowledged. */
class FreshnessProperties {
    private static final int STEPS = 1_500;
    private static long acknowledgements;
    private static long peerRenewals;
    private static long membershipChanges;
    private static long servingChecks;

    @Property(tries = 2_000)
    void noInstanceServesKeysAfterTheirRevocationIsAcknowledged(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int members) {
        SimulatedFleet fleet = new SimulatedFleet(seed, members);
        fleet.run(STEPS);
        acknowledgements += fleet.acknowledgements();
        peerRenewals += fleet.peerRenewals();
        membershipChanges += fleet.membershipChanges();
        servingChecks += fleet.servingChecks();
    }

    /** Guards against a property that passes because the simulation produced too few events. */
    @AfterContainer
    static void simulationCoversEnoughEvents() {
        System.out.printf(
                "acknowledged=%d peerRenewals=%d membershipChanges=%d servingChecks=%d%n",
                acknowledgements, peerRenewals, membershipChanges, servingChecks);
        assertTrue(acknowledgements > 1_000, "acknowledgements: " + acknowledgements);
        assertTrue(peerRenewals > 1_000, "freshness renewals through peers: " + peerRenewals);
        assertTrue(membershipChanges > 500, "membership changes: " + membershipChanges);
        assertTrue(servingChecks > 100_000, "checks of serving instances: " + servingChecks);
    }

    @Example
    void changeIsAcknowledgedOnlyAfterTheFreshnessOfUnreachedMembersExpired() {
        MemberSet members = MemberSet.of(List.of(member("a"), member("b"), member("c")));
        long limit = 5_000;
        ChangeAcknowledgement change = ChangeAcknowledgement.begin(7, members, limit, 0.01, 0);
        change = change.markSettled("a", 10).markSettled("a", 11);
        assertFalse(change.hasMajority());
        change = change.markSettled("non-member", 12).markSettled("b", 20);
        assertTrue(change.hasMajority());
        long expiry = ChangeAcknowledgement.expiryWithClockDrift(limit, 0.01);
        assertEquals(5_102, expiry);
        assertFalse(change.isAcknowledged(20 + expiry - 1));
        assertTrue(change.isAcknowledged(20 + expiry));
        assertTrue(change.markSettled("c", 30).isAcknowledged(30));
    }

    @Example
    void freshnessIsNotShortenedByOlderChecksAndEndsAtTheLimit() {
        Freshness freshness = Freshness.none(100);
        assertFalse(freshness.isFresh(0));
        freshness = freshness.renewed(50).renewed(20);
        assertTrue(freshness.isFresh(149));
        assertFalse(freshness.isFresh(150));
    }

    private static Member member(String name) {
        return new Member(name, name, "region", "zone", "127.0.0.1", 1);
    }
}
