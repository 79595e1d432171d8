package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against instances that together exceed the fleet's retry budget although each stays within its share. */
class WindowedRetryBudgetProperties {
    private static final long SECOND = 1_000_000_000L;
    private static final long WINDOW = 10 * SECOND;
    private static final double RATIO = 0.2;
    private static final double FIXED_RETRIES = 58;

    @Property(tries = 50)
    void instancesTogetherStayWithinTheBudgetInEveryWindow(
            @ForAll @IntRange(min = 1, max = 12) int instances, @ForAll long seed) {
        Random random = new Random(seed);
        List<WindowedRetryBudget> budgets = new ArrayList<>();
        for (int index = 0; index < instances; index++) {
            budgets.add(new WindowedRetryBudget(RATIO, FIXED_RETRIES, WINDOW));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (long now = 0; now < 30 * SECOND; now += 20_000_000L) {
            WindowedRetryBudget budget = budgets.get(random.nextInt(instances));
            budget.recordRequest(now);
            requests.add(now);
            for (int attempt = 0; attempt < 3; attempt++) {
                if (budget.trySpend(now, instances)) {
                    retries.add(now);
                }
            }
        }
        for (long end = WINDOW; end <= 30 * SECOND; end += SECOND / 4) {
            double allowed = RATIO * countInWindow(requests, end) + FIXED_RETRIES;
            assertTrue(countInWindow(retries, end) <= allowed, "retry budget exceeded in the window ending at " + end);
        }
    }

    private static long countInWindow(List<Long> times, long end) {
        return times.stream().filter(time -> time > end - WINDOW && time <= end).count();
    }

    @Example
    void permitsNoRetryWithoutRequestsOrFixedRetries() {
        assertFalse(new WindowedRetryBudget(RATIO, 0, WINDOW).trySpend(SECOND, 1));
    }

    @Example
    void retriesExpireAfterTheWindow() {
        WindowedRetryBudget budget = new WindowedRetryBudget(0, 2, WINDOW);
        assertTrue(budget.trySpend(SECOND, 1));
        assertFalse(budget.trySpend(SECOND, 1));
        assertTrue(budget.trySpend(SECOND + WINDOW + SECOND, 1));
    }
}
