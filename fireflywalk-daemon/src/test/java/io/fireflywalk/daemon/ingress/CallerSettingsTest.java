package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.CallerBounds;
import org.junit.jupiter.api.Test;

/** Guards against settings files of earlier releases that are refused, and against limits that are not applied. */
class CallerSettingsTest {
    private static final String SETTINGS = """
            instance: {name: instance-1, availabilityZone: zone-a, host: 127.0.0.1}
            listen: {callers: "127.0.0.1:1", readiness: "127.0.0.1:2", peerPort: 3, metricsPort: 4}
            store: "127.0.0.1:5"
            reports: ""
            bounds: {gracePeriodSeconds: 8, retryBudgetRatio: 1, retryBudgetAmount: 1000, retryBudgetWindowSeconds: 10,
              leaseMilliseconds: 3000, usageWindowSeconds: 5, configurationMilliseconds: 2000,
              leavingTargetMilliseconds: 2000}
            """;

    private static CallerBounds bounds(String limits) throws FireflywalkException {
        return IngressSettings.parse(SETTINGS + limits, "test").callerBounds(220_000_000, 4100);
    }

    @Test
    void limitsAreOptionalAndDeriveFromTheProcess() throws Exception {
        CallerBounds bounds = bounds("");
        assertEquals(2050, bounds.connections());
        assertEquals(33_000_000, bounds.memoryBytes());
        assertEquals(CallerBounds.DEFAULT_HEAD_LINES, bounds.headLines());
    }

    @Test
    void statedLimitReplacesItsDefault() throws Exception {
        CallerBounds bounds = bounds("callerLimits: {headLines: 200, connections: 50}");
        assertEquals(200, bounds.headLines());
        assertEquals(50, bounds.connections());
        assertEquals(CallerBounds.DEFAULT_HEAD_BYTES, bounds.headBytes());
    }

    @Test
    void limitThatCannotBeKeptIsNamed() {
        FireflywalkException problem =
                assertThrows(FireflywalkException.class, () -> bounds("callerLimits: {pipelinedRequests: 2}"));
        assertTrue(problem.getMessage().contains("callerLimits.pipelinedRequests must be at least 6"));
    }
}
