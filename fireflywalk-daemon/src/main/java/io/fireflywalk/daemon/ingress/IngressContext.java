package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.PromptPlacement;
import io.fireflywalk.core.ingress.TargetPicker;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.http.HttpClient;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/** Parts that the requests of an instance share. Confined to one event loop. */
record IngressContext(
        IngressSettings settings,
        TimerService timers,
        RandomGenerator random,
        HttpClient client,
        CallerProtocol callers,
        TargetProtocol protocol,
        ConfigurationHolder configuration,
        TargetDirectory directory,
        TargetPicker picker,
        PromptPlacement placement,
        PlacementNotices notices,
        RepeatBudgets repeats,
        UsageCounter usage,
        IngressMetrics metrics,
        BooleanSupplier draining) {}
