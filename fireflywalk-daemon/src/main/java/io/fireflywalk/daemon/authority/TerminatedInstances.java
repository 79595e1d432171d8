package io.fireflywalk.daemon.authority;

import io.fireflywalk.services.order.PlatformInstance;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tracks the incarnations that the platform has listed as terminated for at least the delivery bound, so that no
 * request they sent can still arrive. Holds no more entries than the platform's list. Confined to one event loop.
 */
final class TerminatedInstances {
    private final TimerService timers;
    private final Duration deliveryBound;
    private final Map<String, Long> terminatedSince = new HashMap<>();

    TerminatedInstances(TimerService timers, Duration deliveryBound) {
        this.timers = timers;
        this.deliveryBound = deliveryBound;
    }

    /** Updates from the platform's list and returns the incarnations whose requests can no longer arrive. */
    Set<String> update(List<PlatformInstance> instances) {
        long now = timers.monotonicNanoseconds();
        Set<String> terminated = instances.stream()
                .filter(instance -> instance.status() == PlatformInstance.Status.TERMINATED)
                .map(PlatformInstance::incarnation)
                .collect(Collectors.toSet());
        terminatedSince.keySet().retainAll(terminated);
        terminated.forEach(incarnation -> terminatedSince.putIfAbsent(incarnation, now));
        return terminatedSince.entrySet().stream()
                .filter(entry -> now - entry.getValue() >= deliveryBound.toNanos())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }
}
