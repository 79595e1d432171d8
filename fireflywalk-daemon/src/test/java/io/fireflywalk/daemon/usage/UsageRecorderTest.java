package io.fireflywalk.daemon.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.usage.UsageAmount;
import io.fireflywalk.daemon.usage.UsageFleet.Node;
import io.reactivex.rxjava3.observers.TestObserver;
import org.junit.jupiter.api.Test;

/** Checks how long the end of a response is held, that a request counts once, and the row limit during an outage. */
class UsageRecorderTest {
    private static final int MAXIMUM_ROWS = 6;

    private final UsageFleet fleet = new UsageFleet(3, 6, MAXIMUM_ROWS);
    private final Node node = fleet.nodes.get(0);

    @Test
    void responseEndsWhenTwoPeersHoldItsRow() {
        TestObserver<Void> end = record("request", "county");
        end.assertNotComplete();
        fleet.advance(2);
        end.assertComplete();
    }

    @Test
    void responseEndsAfterMaximumHoldAndIsCountedAsExposed() {
        fleet.lostMessagePercent = 100;
        fleet.tables.setUnavailable(true);
        TestObserver<Void> end = record("request", "county");
        fleet.advance(UsageFleet.HOLD_MILLISECONDS - 1);
        end.assertNotComplete();
        fleet.advance(1);
        end.assertComplete();
        assertEquals(1, node.metrics.counter("usage_exposed_answers").getCount());
    }

    @Test
    void repeatedRecordOfOneRequestIsCountedOnce() {
        node.holdsReportLease = true;
        record("request", "county");
        record("request", "county").assertNotComplete();
        fleet.advance(60_000);
        assertEquals(1, fleet.reported("county"));
    }

    @Test
    void outageAddsToNewestRowsAtRowLimitAndRefusesNewAccounts() {
        node.holdsReportLease = true;
        fleet.tables.setUnavailable(true);
        for (int window = 0; window < 40; window++) {
            record("request-" + window, "county");
            fleet.advance(UsageFleet.WINDOW.toMillis());
        }
        assertTrue(node.recorder.hasCapacity("county", "draft", TargetCharge.REGULAR));
        assertFalse(node.recorder.hasCapacity("parish", "draft", TargetCharge.REGULAR));
        assertEquals(MAXIMUM_ROWS, node.metrics.getGauges().get("usage_rows").getValue());
        fleet.tables.setUnavailable(false);
        fleet.advance(120_000);
        assertEquals(40, fleet.reported("county"));
        assertTrue(node.recorder.hasCapacity("parish", "draft", TargetCharge.REGULAR));
    }

    private TestObserver<Void> record(String request, String account) {
        return node.recorder
                .record(request, account, "draft", TargetCharge.REGULAR, new UsageAmount(1, 10, 3))
                .test();
    }
}
