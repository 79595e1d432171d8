package io.fireflywalk.daemon.routing;

import io.fireflywalk.core.admission.FleetPressure;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.routing.ExpectedTimeSelector;
import io.fireflywalk.core.routing.LoadView;
import io.fireflywalk.core.routing.PrefixCacheEstimate;
import io.fireflywalk.core.routing.RequestFeatures;
import io.fireflywalk.core.routing.RoutingDecision;
import io.fireflywalk.core.routing.RoutingSettings;
import io.fireflywalk.core.routing.SentLoad;
import io.fireflywalk.services.time.TimerService;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/** Selects the runner of each attempt, logs the decision and maintains the load view. Confined to one event loop. */
public final class RunnerRouter {
    private static final Logger LOG = Logger.getLogger(RunnerRouter.class);
    /** Work of a generated token relative to that of a prompt token. */
    private static final double OUTPUT_WEIGHT = 7;

    private final LoadPoller poller;
    private final LoadView view;
    private final PrefixCacheEstimate cacheEstimate;
    private final TimerService timers;
    private final RandomGenerator random;
    private final Map<String, ExpectedTimeSelector> selectors = new HashMap<>();

    public RunnerRouter(
            LoadPoller poller,
            LoadView view,
            PrefixCacheEstimate cacheEstimate,
            TimerService timers,
            RandomGenerator random) {
        this.poller = poller;
        this.view = view;
        this.cacheEstimate = cacheEstimate;
        this.timers = timers;
        this.random = random;
    }

    /**
     * Selects an allowed runner and records the attempt as sent. A request is not split between a prefill and a decode
     * runner, because the engines have no published interface yet to export and import KV cache.
     */
    public AttemptLoadTracker choose(
            ConfigurationSnapshot snapshot,
            String service,
            String requestId,
            RequestFeatures features,
            Predicate<Target> allowed)
            throws FireflywalkException {
        long now = timers.monotonicNanoseconds();
        List<Target> targets = poller.targetsOf(snapshot, service);
        RequestFeatures request = features.withExcluded(
                targets.stream().filter(allowed.negate()).map(Target::name).collect(Collectors.toSet()));
        RoutingDecision decision = selector(snapshot, service)
                .select(request, targets, now, random)
                .orElseThrow(() ->
                        new FireflywalkException(ErrorKind.NO_TARGET, "no eligible target", "service " + service));
        LOG.infof(
                "event=routing request=%s service=%s chosen=%s estimates=%s prompt=%d output=%d candidates=%d",
                requestId,
                service,
                decision.chosen().name(),
                decision.estimates(),
                request.promptTokens(),
                request.expectedOutputTokens(),
                targets.size());
        return new AttemptLoadTracker(decision, request, view, cacheEstimate, timers);
    }

    /** Returns the load pressure of a model service. */
    public FleetPressure pressure(ConfigurationSnapshot snapshot, String service) {
        List<Target> targets = poller.targetsOf(snapshot, service);
        return selector(snapshot, service).pressure(targets, OUTPUT_WEIGHT, timers.monotonicNanoseconds());
    }

    /** Returns and resets the load sent since the last heartbeat. */
    public SentLoad drainSentLoad() {
        return view.drainSentLoad();
    }

    /** Adds the load that a peer reports as sent. */
    public void recordPeerLoad(SentLoad sentLoad) {
        view.recordPeerLoad(sentLoad, timers.monotonicNanoseconds());
    }

    private ExpectedTimeSelector selector(ConfigurationSnapshot snapshot, String service) {
        if (!selectors.containsKey(service)) {
            selectors.keySet().removeIf(name -> snapshot.service(name).isEmpty());
            selectors.put(
                    service,
                    new ExpectedTimeSelector(
                            view, cacheEstimate, RoutingSettings.defaults().withSplit(false)));
        }
        return selectors.get(service);
    }
}
