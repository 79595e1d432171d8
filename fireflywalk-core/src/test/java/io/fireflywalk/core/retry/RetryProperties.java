package io.fireflywalk.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against retry storms and against circuit breakers that admit several probes at once or never close. */
class RetryProperties {
    private static final long SECOND = 1_000_000_000L;
    private static final CircuitBreaker.Settings BREAKER = new CircuitBreaker.Settings(3, SECOND);

    @Property
    void retriesNeverExceedInitialBalanceRefillAndShareOfSuccesses(
            @ForAll List<Boolean> successes, @ForAll @IntRange(min = 0, max = 1_000_000_000) int stepNanoseconds) {
        RetryBudget.Settings settings = new RetryBudget.Settings(0.1, 0.5, 5);
        RetryBudget budget = RetryBudget.full(settings, 0);
        long now = 0;
        long successCount = 0;
        long retryCount = 0;
        for (boolean success : successes) {
            now += stepNanoseconds;
            if (success) {
                budget = budget.succeeded(now);
                successCount++;
            } else if (budget.allows(now)) {
                budget = budget.spent(now);
                retryCount++;
            }
        }
        assertTrue(retryCount <= 5 + 0.1 * successCount + 0.5 * now / SECOND + 1e-6);
    }

    @Property
    void backoffStaysWithinItsBounds(@ForAll @IntRange(min = 0, max = 100) int retry, @ForAll long seed) {
        Backoff backoff = new Backoff(Duration.ofMillis(10), Duration.ofSeconds(2));
        Duration delay = backoff.delay(retry, new Random(seed));
        long bound = retry < 8 ? 10L << retry : 2000;
        assertTrue(!delay.isNegative() && delay.compareTo(Duration.ofMillis(bound)) <= 0, delay.toString());
    }

    @Property
    void openBreakerAdmitsOneProbePerOpenDuration(
            @ForAll List<@IntRange(min = 0, max = 300) Integer> stepsMilliseconds) {
        CircuitBreaker breaker = CircuitBreaker.closed(BREAKER);
        for (int failure = 0; failure < 3; failure++) {
            assertTrue(breaker.allows(0));
            breaker = breaker.started(0).failed(0);
        }
        long now = 0;
        long lastAdmitted = 0;
        for (int step : stepsMilliseconds) {
            now += step * 1_000_000L;
            if (breaker.allows(now)) {
                assertTrue(now - lastAdmitted >= SECOND);
                lastAdmitted = now;
                breaker = breaker.started(now);
            }
        }
    }

    @Example
    void successfulProbeClosesBreakerAndAbandonedProbeAdmitsAnother() {
        CircuitBreaker open = new CircuitBreaker(BREAKER, CircuitBreaker.State.OPEN, 3, 0);
        CircuitBreaker probing = open.started(SECOND);
        assertFalse(probing.allows(SECOND + 1));
        assertEquals(CircuitBreaker.State.CLOSED, probing.succeeded().state());
        assertFalse(probing.failed(SECOND + 2).allows(SECOND + 3));
        assertTrue(probing.abandoned(SECOND + 2).allows(SECOND + 3));
    }

    @Example
    void onlyShortIdempotentRequestsAreHedged() {
        HedgePolicy policy = new HedgePolicy(true, 100, 10);
        assertTrue(policy.allows(true, 100, 10));
        assertFalse(policy.allows(false, 100, 10));
        assertFalse(policy.allows(true, 101, 10));
        assertFalse(policy.allows(true, 100, 11));
        assertFalse(policy.allows(true, 100, 0));
    }
}
