package io.fireflywalk.core.ingress;

import java.time.Duration;
import java.util.List;

/**
 * A route of requests by host and path prefix.
 *
 * @param name unique name
 * @param host value of the host header without a port
 * @param pathPrefix prefix of the path
 * @param kind how the answer arrives and how often a request may run
 * @param resumable true if a stream may go on at another runner after its last event
 * @param open true if no key is needed
 * @param timeout longest time until the final answer
 * @param objective time until the answer, or the first event of a stream, that earns full credit
 * @param maximumAttempts targets that may get one request
 * @param priority rank among routes; 0 is the most urgent
 * @param services services that answer, with their weights
 */
public record HostRoute(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        boolean resumable,
        boolean open,
        Duration timeout,
        Duration objective,
        int maximumAttempts,
        int priority,
        List<WeightedService> services) {

    public HostRoute {
        services = List.copyOf(services);
    }

    /** Tells whether a request of the route may run more than once. */
    public boolean repeatable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable);
    }

    /** Returns the service for a number drawn uniformly from [0, 1). */
    public String service(double draw) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService candidate : services) {
            left -= candidate.weight();
            if (left < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
