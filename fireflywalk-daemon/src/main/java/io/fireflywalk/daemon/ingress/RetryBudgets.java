package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.WindowedRetryBudget;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** Retry budgets by service. Confined to one event loop. */
final class RetryBudgets {
    private static final int MAXIMUM_SERVICES = 1024;

    private final IngressSettings.Bounds bounds;
    private final TimerService timers;
    private final IntSupplier instanceCount;
    private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();

    RetryBudgets(IngressSettings.Bounds bounds, TimerService timers, IntSupplier instanceCount) {
        this.bounds = bounds;
        this.timers = timers;
        this.instanceCount = instanceCount;
    }

    /** Records a caller's request for the service. */
    void recordRequest(String service) {
        budget(service).recordRequest(timers.monotonicNanoseconds());
    }

    /** Charges the budget with one retry, or returns false if it is exhausted. */
    boolean trySpend(String service) {
        return budget(service).trySpend(timers.monotonicNanoseconds(), instanceCount.getAsInt());
    }

    private WindowedRetryBudget budget(String service) {
        if (budgets.size() >= MAXIMUM_SERVICES && !budgets.containsKey(service)) {
            budgets.clear();
        }
        return budgets.computeIfAbsent(
                service,
                name -> new WindowedRetryBudget(
                        bounds.retryBudgetRatio(),
                        bounds.retryBudgetAmount(),
                        Duration.ofMillis((long) (1000 * bounds.retryBudgetWindowSeconds()))
                                .toNanos()));
    }
}
