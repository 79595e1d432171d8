package io.fireflywalk.core.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.membership.RendezvousHashing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Guards against two concurrent holders of a lease while all clock rates are within the drift bound. */
class LeaseProperties {
    private static final long MILLISECOND = 1_000_000L;
    private static final double DRIFT_BOUND = 0.05;
    private static final LeaseTerms TERMS = new LeaseTerms(Duration.ofSeconds(8), DRIFT_BOUND, Duration.ofSeconds(2));

    /** Fails if either side ignores the drift bound, or if the holder's validity starts at the response. */
    @Property
    void lastRequestOfTheHolderEndsBeforeTakeover(
            @ForAll @DoubleRange(min = 1 - DRIFT_BOUND, max = 1 + DRIFT_BOUND) double holderRate,
            @ForAll @DoubleRange(min = 1 - DRIFT_BOUND, max = 1 + DRIFT_BOUND) double observerRate,
            @ForAll @LongRange(max = 3000) long commitDelay,
            @ForAll @LongRange(max = 3000) long observationDelay) {
        LeaseUnit unit = LeaseUnit.pool("draft");
        LeaseRecord record = LeaseRecord.takenOver(Optional.empty(), "holder", 8000);
        HeldLease held = HeldLease.takenOver(unit, record, 1, 0);
        long seenAt = (commitDelay + observationDelay) * MILLISECOND;
        ObservedLease view =
                ObservedLease.observe(Optional.empty(), unit, Optional.of(record), 1, (long) (seenAt * observerRate));
        double takeoverAt = seenAt + view.untilTakeover(TERMS, (long) (seenAt * observerRate)) / observerRate;
        double lastRequestEnds =
                (held.remaining(TERMS, 0) + TERMS.requestDeadline().toNanos()) / holderRate;
        assertTrue(lastRequestEnds <= takeoverAt + MILLISECOND, () -> lastRequestEnds + " is after " + takeoverAt);
    }

    /** Fails if an observer does not restart its wait when the row is renewed. */
    @Property
    void renewalRestartsTheWait(@ForAll @IntRange(min = 1, max = 50) int renewals) {
        LeaseUnit unit = LeaseUnit.zone("zone-a");
        LeaseRecord record = LeaseRecord.takenOver(Optional.empty(), "holder", 8000);
        Optional<ObservedLease> view = Optional.empty();
        for (int version = 1; version <= renewals; version++) {
            long now = version * 4000L * MILLISECOND;
            view = Optional.of(ObservedLease.observe(view, unit, Optional.of(record), version, now));
            assertEquals(TERMS.takeoverWaitNanoseconds(unit, record), view.get().untilTakeover(TERMS, now));
        }
    }

    /** Fails if a takeover after a release reuses a token. */
    @Property
    void tokensStrictlyIncrease(@ForAll List<Boolean> releases) {
        Optional<LeaseRecord> row = Optional.empty();
        long last = 0;
        for (boolean release : releases) {
            LeaseRecord taken = LeaseRecord.takenOver(row, "holder", 8000);
            assertTrue(taken.token() > last);
            last = taken.token();
            row = Optional.of(release ? taken.released() : taken);
        }
    }

    /** Fails if an adopted lease is treated as valid before its renewal. */
    @Property
    void adoptedLeaseIsNotValidBeforeRenewal(@ForAll long now) {
        LeaseRecord record = LeaseRecord.takenOver(Optional.empty(), "holder", 8000);
        HeldLease adopted = HeldLease.adopted(LeaseUnit.pool("draft"), record, 7);
        assertFalse(adopted.isValid(TERMS, now));
        assertTrue(adopted.renewed(now).isValid(TERMS, now));
    }

    /** Fails if removing a member moves units of the remaining members. */
    @Property
    void removingAnotherMemberKeepsTheRankingOfAUnit(
            @ForAll @IntRange(min = 4, max = 40) int count, @ForAll @IntRange(max = 1000) int key) {
        List<String> members = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            members.add("member-" + index);
        }
        List<String> before = RendezvousHashing.rankIncarnations(members, "unit-" + key, 3);
        List<String> others = new ArrayList<>(members);
        others.removeAll(before);
        members.remove(others.get(0));
        assertEquals(before, RendezvousHashing.rankIncarnations(members, "unit-" + key, 3));
    }
}
