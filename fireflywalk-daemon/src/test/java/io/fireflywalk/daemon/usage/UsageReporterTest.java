package io.fireflywalk.daemon.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.usage.UsageReport;
import io.fireflywalk.daemon.usage.UsageFleet.Node;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards a window against a second report with other figures, and late usage against being lost or booked twice. */
class UsageReporterTest {
    private final UsageFleet fleet = new UsageFleet(5, 6, 1000);
    private final Node first = fleet.nodes.get(0);
    private final Node second = fleet.nodes.get(1);
    private final Node cutOff = fleet.nodes.get(2);

    @Test
    void lateUsageIsBookedOnceAndTheSecondReporterRepeatsTheFrozenFigures() {
        first.reports = true;
        fleet.advance(30_000);
        fleet.serve(first, "county");
        fleet.serve(cutOff, "county");
        // The copies and flushes of one instance stay away until its window is reported.
        cutOff.recorder.stop();
        fleet.nodes.forEach(node -> node.holder.stop());
        fleet.advance(12_000);
        fleet.lostReportAnswers = 100;
        fleet.advance(33_000);
        Disposable late = cutOff.recorder.flush().subscribe();
        fleet.advance(1_000);
        Disposable repeated = cutOff.recorder.flush().subscribe();
        assertTrue(late.isDisposed() && repeated.isDisposed(), "the flushes did not end");
        first.reports = false;
        second.reports = true;
        fleet.lostReportAnswers = 0;
        fleet.advance(120_000);

        List<UsageReport> withCounty = fleet.received.stream()
                .filter(report -> report.figures().stream()
                        .anyMatch(figure -> figure.clientAccount().equals("county")))
                .toList();
        assertTrue(withCounty.size() > 1, "the report was not repeated");
        withCounty.forEach(report -> assertEquals(withCounty.get(0), report));
        assertEquals(2, fleet.reported("county"));
        UsageReport correcting = fleet.received.stream()
                .filter(report -> !report.corrections().isEmpty())
                .findFirst()
                .orElseThrow();
        assertEquals(withCounty.get(0).window(), correcting.corrections().get(0).window());
    }

    @Test
    void reportsGoOutWithinTheDeadlineAndAreSentAgainAfterAnOutage() {
        first.reports = true;
        fleet.reportsOut = true;
        fleet.advance(30_000);
        fleet.serve(first, "county");
        fleet.advance(60_000);
        assertEquals(0, fleet.received.size());
        fleet.reportsOut = false;
        fleet.advance(60_000);
        assertEquals(1, fleet.reported("county"));
        long late = first.metrics.counter("usage_reports_late").getCount();
        fleet.advance(120_000);
        assertTrue(late > 0, "the outage made no report late");
        assertEquals(late, first.metrics.counter("usage_reports_late").getCount(), "late without an outage");
    }
}
