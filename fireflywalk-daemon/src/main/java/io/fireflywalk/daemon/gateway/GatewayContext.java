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
 * Parts that all requests share. Confined to one event loop.
 *
 * @param settings settings of the daemon
 * @param snapshots configuration in force
 * @param timers timer service
 * @param connections connections to targets
 * @param pool choice of targets
 * @param retries budgets and circuit breakers
 * @param usage recorder of usage
 * @param claims idempotency claims
 * @param router choice of runners for model requests
 * @param admission admission of requests
 * @param memory budget of buffered bodies
 * @param metrics metrics of the request path
 */
public record GatewayContext(
        DaemonSettings settings,
        Supplier<ConfigurationSnapshot> snapshots,
        TimerService timers,
        TargetConnections connections,
        TargetPool pool,
        RetryGovernor retries,
        UsageRecorder usage,
        ClaimService claims,
        RunnerRouter router,
        AdmissionGate admission,
        BodyMemory memory,
        GatewayMetrics metrics) {

    /** Creates the parts that only the request path uses. */
    public static GatewayContext create(
            DaemonSettings settings,
            Supplier<ConfigurationSnapshot> snapshots,
            TimerService timers,
            TargetConnections connections,
            TargetPool pool,
            RetryGovernor retries,
            UsageRecorder usage,
            ClaimService claims,
            RunnerRouter router,
            AdmissionGate admission,
            MetricRegistry registry) {
        BodyMemory memory = new BodyMemory(settings.limits().bodyMemoryBytes());
        GatewayMetrics metrics = new GatewayMetrics(registry);
        metrics.registerGauges(retries, memory);
        return new GatewayContext(
                settings,
                snapshots,
                timers,
                connections,
                pool,
                retries,
                usage,
                claims,
                router,
                admission,
                memory,
                metrics);
    }
}
