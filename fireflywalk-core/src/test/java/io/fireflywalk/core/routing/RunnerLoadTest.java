package io.fireflywalk.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against wrong load estimates from late, missing, invalid or contradictory load reports. */
class RunnerLoadTest {
    private static final long SECOND = 1_000_000_000L;

    private final RunnerLoad load = new RunnerLoad(RunnerProfile.defaults());

    private static LoadReport report(int running, int waiting, long tokens, long sequence) {
        return new LoadReport("draft", "1", RunnerRole.MIXED, running, waiting, tokens, 0.1, sequence);
    }

    @Test
    void implausibleReportIsDropped() {
        load.recordReport(report(5, 1, 1_000, 1), SECOND);
        load.recordReport(report(-1, 0, 0, 2), SECOND);
        load.recordReport(report(0, 0, 90_000, 3), SECOND);
        assertEquals(5, load.decodingRequests(SECOND), 1e-9);
    }

    @Test
    void outOfOrderReportIsDroppedAndEngineRestartIsDetected() {
        load.recordReport(report(5, 0, 0, 10), 0);
        assertFalse(load.recordReport(report(50, 0, 0, 9), SECOND));
        assertEquals(5, load.decodingRequests(SECOND), 1e-9);
        assertTrue(load.recordReport(report(1, 0, 0, 1), 3 * SECOND));
        assertEquals(1, load.decodingRequests(3 * SECOND), 1e-9);
    }

    @Test
    void ownRequestsCountBeforeNextReport() {
        load.recordReport(report(0, 0, 0, 1), 0);
        double initialSeconds = load.firstTokenSeconds(600, SECOND / 10);
        load.recordSent(20_000, SECOND / 10);
        assertTrue(load.firstTokenSeconds(600, SECOND / 10) > initialSeconds + 0.5);
    }

    @Test
    void peerRequestsCountUntilNextReport() {
        load.recordReport(report(0, 0, 0, 1), 0);
        load.recordPeerSent(40_000, 2, SECOND);
        double queuedBeforeReport = load.queuedTokens(SECOND);
        load.recordReport(report(0, 0, 0, 2), 2 * SECOND);
        assertTrue(queuedBeforeReport > 10_000, "queued " + queuedBeforeReport);
        assertEquals(0, load.queuedTokens(2 * SECOND), 1e-9);
    }

    @Test
    void runnerWithoutReportsStaysEligibleWithBoundedPenalty() {
        load.recordReport(report(90, 0, 0, 1), 0);
        assertFalse(load.isEjected(600 * SECOND));
        assertEquals(8, load.activeRequests(600 * SECOND), 1);
        assertEquals(0.4, load.stalenessPenaltySeconds(600 * SECOND), 1e-9);
        assertEquals(0, load.stalenessPenaltySeconds(SECOND), 1e-9);
    }

    @Test
    void runnerThatReportsButSendsNoTokenIsEjectedUntilItDoes() {
        load.recordSent(600, 0);
        for (int second = 1; second <= 10; second++) {
            load.recordReport(report(0, 0, 0, second), second * SECOND);
        }
        assertTrue(load.isEjected(10 * SECOND));
        load.recordFirstToken(600, 0.1, 10, 10 * SECOND);
        assertFalse(load.isEjected(10 * SECOND));
    }

    @Test
    void ejectionTimeGrowsWithConsecutiveFailures() {
        load.recordFailure(0);
        assertTrue(load.isEjected(SECOND / 2));
        assertFalse(load.isEjected(SECOND));
        load.recordFailure(SECOND);
        assertTrue(load.isEjected(2 * SECOND));
        assertFalse(load.isEjected(3 * SECOND));
    }

    @Test
    void slowFirstTokensIncreaseExpectedTime() {
        load.recordReport(report(0, 0, 0, 1), 0);
        double initialSeconds = load.firstTokenSeconds(6_000, 0);
        for (int i = 0; i < 30; i++) {
            load.recordSent(6_000, 0);
            load.recordFirstToken(6_000, 0.4, 3, 0);
            load.recordEnd();
        }
        load.recordReport(report(0, 0, 0, 2), SECOND);
        assertTrue(load.firstTokenSeconds(6_000, SECOND) > 2 * initialSeconds);
    }
}
