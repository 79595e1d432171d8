package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.BodyMemory;
import io.fireflywalk.core.ingress.HostRoute;
import io.fireflywalk.core.ingress.PromptPlacement;
import io.fireflywalk.core.ingress.PromptSummary;
import io.fireflywalk.core.ingress.RequestDescription;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.http.HttpClient;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/** Components shared by all requests of an instance. Confined to one event loop. */
record IngressContext(
        IngressSettings settings,
        TimerService timers,
        RandomGenerator random,
        HttpClient client,
        TargetConnectionTracker targetConnections,
        CallerProtocol callerProtocol,
        TargetProtocol targetProtocol,
        ConfigurationHolder configuration,
        TargetDirectory directory,
        TargetChooser targetChooser,
        PromptPlacement promptPlacement,
        PlacementBroadcaster placementBroadcaster,
        ArrivedWorkExchange arrivedWork,
        TargetCrashDetector crashDetector,
        PromptQuarantine promptQuarantine,
        RetryBudgets retryBudgets,
        RequestQueue requestQueue,
        Set<DeploymentFeature> features,
        UsageCounter usageCounter,
        QuotaExchange quotas,
        IngressMetrics metrics,
        EventLoopMonitor eventLoopMonitor,
        BodyMemory bodyMemory,
        BooleanSupplier draining) {

    /** Returns the availability zone of this instance. */
    String availabilityZone() {
        return settings.instance().availabilityZone();
    }

    /** Records a caller's request for the service. */
    void recordRequest(String service, HostRoute route, RequestDescription description, PromptSummary prompt) {
        retryBudgets.recordRequest(service);
        arrivedWork.countRequest(service, route, description, prompt);
    }
}
