package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderAnswer;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.Optional;

/** What this process knows about its own sends of one engine's pending order. Confined to one event loop. */
final class OwnSends {
    private final TimerService timers;
    private final String orderId;
    private final long trackedSince;
    private int inFlight;
    private Optional<Long> lastSendAt = Optional.empty();
    private Optional<Acceptance> order = Optional.empty();
    private Optional<Acceptance> barrier = Optional.empty();

    OwnSends(TimerService timers, String orderId) {
        this.timers = timers;
        this.orderId = orderId;
        this.trackedSince = timers.monotonicNanoseconds();
    }

    String orderId() {
        return orderId;
    }

    void started() {
        inFlight++;
        lastSendAt = Optional.of(timers.monotonicNanoseconds());
    }

    void answered(EngineOrder sent, EngineOrderAnswer answer) {
        inFlight--;
        // The process may have been paused between the start and the moment at which the request left it.
        lastSendAt = Optional.of(timers.monotonicNanoseconds());
        if (!answer.accepted()) {
            return;
        }
        Optional<Acceptance> acceptance = Optional.of(new Acceptance(sent.engineIncarnation(), sent.token()));
        if (sent.assignment().isPresent()) {
            order = acceptance;
        } else {
            barrier = acceptance;
        }
    }

    void unanswered() {
        inFlight--;
        // The process may have been paused between the start and the moment at which the request left it.
        lastSendAt = Optional.of(timers.monotonicNanoseconds());
    }

    /** Tells whether no delayed or duplicated copy of this process's sends can still arrive. */
    boolean isQuiet(Duration deliveryBound) {
        return inFlight == 0
                && lastSendAt
                        .map(at -> timers.monotonicNanoseconds() - at >= deliveryBound.toNanos())
                        .orElse(true);
    }

    boolean isOlderThan(Duration limit) {
        return timers.monotonicNanoseconds() - trackedSince >= limit.toNanos();
    }

    Optional<String> acceptedIncarnation(long token) {
        return incarnation(order, token);
    }

    Optional<String> barrierIncarnation(long token) {
        return incarnation(barrier, token);
    }

    private static Optional<String> incarnation(Optional<Acceptance> acceptance, long token) {
        return acceptance.filter(found -> found.token() == token).map(Acceptance::engineIncarnation);
    }

    private record Acceptance(String engineIncarnation, long token) {}
}
