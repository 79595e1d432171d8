package io.fireflywalk.daemon.gateway;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.daemon.admission.AdmissionGate;
import io.fireflywalk.daemon.claim.ClaimService;
import io.fireflywalk.daemon.routing.RunnerRouter;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.daemon.usage.UsageRecorder;
import io.fireflywalk.services.time.TimerService;
import java.util.function.Supplier;

/**
 * Components shared by all requests. Confined to one event loop.
 *
 * @param settings settings of the daemon
 * @param snapshots supplier of the current configuration
 * @param timers timer service
 * @param connections pooled connections to targets
 * @param targetPool target selection for plain services
 * @param retryController retry budgets and circuit breakers
 * @param usage usage recorder
 * @param claims idempotency claims
 * @param router runner selection for model requests
 * @param admission admission control
 * @param memory memory budget of buffered bodies
 * @param metrics metrics of the request path
 */
public record GatewayContext(
        DaemonSettings settings,
        Supplier<ConfigurationSnapshot> snapshots,
        TimerService timers,
        TargetConnections connections,
        TargetPool targetPool,
        RetryController retryController,
        UsageRecorder usage,
        ClaimService claims,
        RunnerRouter router,
        AdmissionGate admission,
        BodyMemoryBudget memory,
        GatewayMetrics metrics) {

    /** Creates the context together with the body memory budget and the metrics. */
    public static GatewayContext create(
            DaemonSettings settings,
            Supplier<ConfigurationSnapshot> snapshots,
            TimerService timers,
            TargetConnections connections,
            TargetPool targetPool,
            RetryController retryController,
            UsageRecorder usage,
            ClaimService claims,
            RunnerRouter router,
            AdmissionGate admission,
            MetricRegistry registry) {
        BodyMemoryBudget memory = new BodyMemoryBudget(settings.limits().bodyMemoryBytes());
        GatewayMetrics metrics = new GatewayMetrics(registry);
        metrics.registerGauges(retryController, memory);
        return new GatewayContext(
                settings,
                snapshots,
                timers,
                connections,
                targetPool,
                retryController,
                usage,
                claims,
                router,
                admission,
                memory,
                metrics);
    }
}
