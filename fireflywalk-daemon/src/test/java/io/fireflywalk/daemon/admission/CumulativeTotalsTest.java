package io.fireflywalk.daemon.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that work of peers is neither counted twice nor lost when digests are lost, repeated or reordered. */
class CumulativeTotalsTest {
    private final CumulativeTotals totals = new CumulativeTotals();

    @Test
    void firstTotalOfPeerIsTheBaseline() {
        assertEquals(0, receive("peer", 500));
        assertEquals(20, receive("peer", 520));
    }

    @Test
    void lostDigestLosesNoWork() {
        receive("peer", 100);
        // The digest with total 150 is lost.
        assertEquals(100, receive("peer", 200));
    }

    @Test
    void repeatedAndOlderDigestsAddNothing() {
        receive("peer", 100);
        assertEquals(50, receive("peer", 150));
        assertEquals(0, receive("peer", 150));
        assertEquals(0, totals.growth("peer", "account", 120));
    }

    @Test
    void newIncarnationGetsItsOwnBaseline() {
        receive("first run", 900);
        totals.retain(Set.of("second run"));
        assertEquals(0, receive("second run", 10));
        assertEquals(5, receive("second run", 15));
    }

    private long receive(String peer, long total) {
        long growth = totals.growth(peer, "account", total);
        totals.recordTotals(peer, Map.of("account", total));
        return growth;
    }
}
