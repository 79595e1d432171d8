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
 * Incarnations that the platform has listed as terminated for at least the delivery bound, so that nothing they sent
 * can still arrive. Bounded by the platform's list. Confined to one event loop.
 */
final class EndedInstances {
    private final TimerService timers;
    private final Duration deliveryBound;
    private final Map<String, Long> terminatedSince = new HashMap<>();

    EndedInstances(TimerService timers, Duration deliveryBound) {
        this.timers = timers;
        this.deliveryBound = deliveryBound;
    }

    /** Takes the platform's list and returns the incarnations whose sends have all ended. */
    Set<String> update(List<PlatformInstance> listed) {
        long now = timers.monotonicNanoseconds();
        Set<String> terminated = listed.stream()
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
