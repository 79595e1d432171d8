package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.RepeatAllowance;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** Allowances of repeated sends, one a service. Confined to one event loop. */
final class RepeatBudgets {
    private static final int MAXIMUM_SERVICES = 1024;

    private final IngressSettings.Bounds bounds;
    private final TimerService timers;
    private final IntSupplier instances;
    private final Map<String, RepeatAllowance> allowances = new HashMap<>();

    RepeatBudgets(IngressSettings.Bounds bounds, TimerService timers, IntSupplier instances) {
        this.bounds = bounds;
        this.timers = timers;
        this.instances = instances;
    }

    /** Notes a caller's request for the service. */
    void requestArrived(String service) {
        allowance(service).requestArrived(timers.monotonicNanoseconds());
    }

    /** Takes a repeated send to the service, or returns false if the budget does not allow it. */
    boolean spend(String service) {
        return allowance(service).spend(timers.monotonicNanoseconds(), instances.getAsInt());
    }

    private RepeatAllowance allowance(String service) {
        if (allowances.size() >= MAXIMUM_SERVICES && !allowances.containsKey(service)) {
            allowances.clear();
        }
        return allowances.computeIfAbsent(
                service,
                name -> new RepeatAllowance(
                        bounds.retryBudgetRatio(),
                        bounds.retryBudgetAmount(),
                        Duration.ofMillis((long) (1000 * bounds.retryBudgetWindowSeconds()))
                                .toNanos()));
    }
}
