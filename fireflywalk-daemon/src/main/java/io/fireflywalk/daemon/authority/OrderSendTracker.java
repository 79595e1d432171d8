package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderResponse;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.Optional;

/** Tracks this process's sends of one engine's pending order and their outcomes. Confined to one event loop. */
final class OrderSendTracker {
    private final TimerService timers;
    private final String orderId;
    private final long createdAt;
    private int sendsInFlight;
    private Optional<Long> latestDepartureAt = Optional.empty();
    private Optional<Acceptance> orderAcceptance = Optional.empty();
    private Optional<Acceptance> barrierAcceptance = Optional.empty();

    OrderSendTracker(TimerService timers, String orderId) {
        this.timers = timers;
        this.orderId = orderId;
        this.createdAt = timers.monotonicNanoseconds();
    }

    String orderId() {
        return orderId;
    }

    void sendStarted() {
        sendsInFlight++;
        latestDepartureAt = Optional.of(timers.monotonicNanoseconds());
    }

    void responseReceived(EngineOrder sent, EngineOrderResponse response) {
        sendsInFlight--;
        // The request may have left the process as late as now, if the process was paused after starting the send.
        latestDepartureAt = Optional.of(timers.monotonicNanoseconds());
        if (!response.accepted()) {
            return;
        }
        Optional<Acceptance> acceptance = Optional.of(new Acceptance(sent.engineIncarnation(), sent.token()));
        if (sent.assignment().isPresent()) {
            orderAcceptance = acceptance;
        } else {
            barrierAcceptance = acceptance;
        }
    }

    void sendFailed() {
        sendsInFlight--;
        // The request may have left the process as late as now, if the process was paused after starting the send.
        latestDepartureAt = Optional.of(timers.monotonicNanoseconds());
    }

    /** Returns whether no delayed or duplicated copy of this process's sends can still arrive. */
    boolean isDrained(Duration deliveryBound) {
        return sendsInFlight == 0
                && latestDepartureAt
                        .map(at -> timers.monotonicNanoseconds() - at >= deliveryBound.toNanos())
                        .orElse(true);
    }

    boolean isOlderThan(Duration limit) {
        return timers.monotonicNanoseconds() - createdAt >= limit.toNanos();
    }

    Optional<String> acceptedIncarnation(long token) {
        return incarnation(orderAcceptance, token);
    }

    Optional<String> barrierIncarnation(long token) {
        return incarnation(barrierAcceptance, token);
    }

    private static Optional<String> incarnation(Optional<Acceptance> acceptance, long token) {
        return acceptance.filter(latest -> latest.token() == token).map(Acceptance::engineIncarnation);
    }

    private record Acceptance(String engineIncarnation, long token) {}
}
