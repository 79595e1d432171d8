package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.routing.RoutingDecision;
import io.fireflywalk.core.routing.TargetLoad;
import io.fireflywalk.core.routing.TargetSelector;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/** Selects targets and counts the requests in flight to each of them. Confined to one event loop. */
public final class TargetPool {
    private static final Logger LOG = Logger.getLogger(TargetPool.class);

    private final TargetSelector selector;
    private final RandomGenerator random;
    private final Map<String, Integer> inFlight = new HashMap<>();

    public TargetPool(TargetSelector selector, RandomGenerator random) {
        this.selector = selector;
        this.random = random;
    }

    /** Selects an eligible target of the service that is not leaving, and logs the decision. */
    public Target choose(ConfigurationSnapshot snapshot, String service, String requestId, Predicate<Target> eligible)
            throws FireflywalkException {
        List<TargetLoad> candidates = snapshot.targetsOf(service).stream()
                .filter(target -> !target.leaving() && eligible.test(target))
                .map(target -> new TargetLoad(target, inFlight.getOrDefault(target.name(), 0)))
                .toList();
        RoutingDecision decision = selector.select(candidates, random)
                .orElseThrow(() ->
                        new FireflywalkException(ErrorKind.NO_TARGET, "no eligible target", "service " + service));
        LOG.infof(
                "event=routing request=%s service=%s chosen=%s considered=%s candidates=%d",
                requestId,
                service,
                decision.chosen().name(),
                decision.considered().stream()
                        .map(load -> load.target().name() + ":" + load.requestsInFlight())
                        .toList(),
                candidates.size());
        return decision.chosen();
    }

    /** Increments the requests in flight of the target. */
    public void attemptStarted(Target target) {
        inFlight.merge(target.name(), 1, Integer::sum);
    }

    /** Logs a failed attempt. {@link #attemptEnded} is called as well. */
    public void attemptFailed(Target target) {
        LOG.debugf("event=attempt_failed target=%s", target.name());
    }

    /** Decrements the requests in flight of the target. */
    public void attemptEnded(Target target) {
        inFlight.computeIfPresent(target.name(), (name, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the number of requests in flight from this instance to the target. */
    public int requestsInFlight(Target target) {
        return inFlight.getOrDefault(target.name(), 0);
    }
}
