package io.fireflywalk.core.ingress;

import java.time.Duration;
import java.util.List;

/**
 * A route that matches requests by host and path prefix.
 *
 * @param name unique name
 * @param host value of the Host header without the port
 * @param pathPrefix prefix of the path
 * @param kind how the response is sent and how often a request may run
 * @param resumable true if another runner may continue a stream after its last event
 * @param openToAll true if the route requires no API key
 * @param timeout maximum time until the response is complete
 * @param latencyObjective time within which the response, or the first event of a stream, should arrive
 * @param maximumAttempts maximum number of targets that a request is sent to
 * @param priority priority among routes; 0 is the highest
 * @param services services that handle the requests, with their weights
 */
public record HostRoute(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        boolean resumable,
        boolean openToAll,
        Duration timeout,
        Duration latencyObjective,
        int maximumAttempts,
        int priority,
        List<WeightedService> services) {

    private static final int BASE_RUNNER_PRIORITY = 4;
    private static final int LOWEST_RUNNER_PRIORITY = 9;

    public HostRoute {
        services = List.copyOf(services);
    }

    /** Returns the scheduling priority of the route's requests at runners; 0 is first and 9 last. */
    public int runnerPriority() {
        return Math.min(LOWEST_RUNNER_PRIORITY, BASE_RUNNER_PRIORITY + priority);
    }

    /** Tells whether requests of the route may run more than once. */
    public boolean retryable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable);
    }

    /** Returns a service chosen by weight, for a number drawn uniformly from [0, 1). */
    public String pickService(double uniformDraw) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = uniformDraw * total;
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
