package io.fireflywalk.daemon.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.usage.UsageReport;
import io.fireflywalk.daemon.usage.UsageFleet.Node;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that a window is never reported with two different figures, and that late usage is reported exactly once. */
class UsageReporterTest {
    private final UsageFleet fleet = new UsageFleet(5, 6, 1000);
    private final Node first = fleet.nodes.get(0);
    private final Node second = fleet.nodes.get(1);
    private final Node isolated = fleet.nodes.get(2);

    @Test
    void lateUsageIsReportedOnceAndSecondReporterRepeatsFrozenFigures() {
        first.holdsReportLease = true;
        fleet.advance(30_000);
        fleet.serve(first, "county");
        fleet.serve(isolated, "county");
        // Withhold the copies and flushes of one instance until its window is reported.
        isolated.recorder.stop();
        fleet.nodes.forEach(node -> node.holder.stop());
        fleet.advance(12_000);
        fleet.lostReportResponsePercent = 100;
        fleet.advance(33_000);
        Disposable lateFlush = isolated.recorder.flush().subscribe();
        fleet.advance(1_000);
        Disposable repeatedFlush = isolated.recorder.flush().subscribe();
        assertTrue(lateFlush.isDisposed() && repeatedFlush.isDisposed(), "the flushes did not complete");
        first.holdsReportLease = false;
        second.holdsReportLease = true;
        fleet.lostReportResponsePercent = 0;
        fleet.advance(120_000);

        List<UsageReport> countyReports = fleet.received.stream()
                .filter(report -> report.figures().stream()
                        .anyMatch(figure -> figure.clientAccount().equals("county")))
                .toList();
        assertTrue(countyReports.size() > 1, "the report was not repeated");
        countyReports.forEach(report -> assertEquals(countyReports.get(0), report));
        assertEquals(2, fleet.reported("county"));
        UsageReport correction = fleet.received.stream()
                .filter(report -> !report.corrections().isEmpty())
                .findFirst()
                .orElseThrow();
        assertEquals(
                countyReports.get(0).window(), correction.corrections().get(0).window());
    }

    @Test
    void reportsMeetDeadlineAndAreSentAgainAfterOutage() {
        first.holdsReportLease = true;
        fleet.reportServiceDown = true;
        fleet.advance(30_000);
        fleet.serve(first, "county");
        fleet.advance(60_000);
        assertEquals(0, fleet.received.size());
        fleet.reportServiceDown = false;
        fleet.advance(60_000);
        assertEquals(1, fleet.reported("county"));
        long lateDuringOutage = first.metrics.counter("usage_reports_late").getCount();
        fleet.advance(120_000);
        assertTrue(lateDuringOutage > 0, "the outage delayed no report");
        assertEquals(
                lateDuringOutage,
                first.metrics.counter("usage_reports_late").getCount(),
                "a report was late without an outage");
    }
}
