package io.fireflywalk.daemon.ingress;

import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;

/**
 * Detects a target that has sent no response to any request since an exchange with it started. Confined to one event
 * loop.
 */
final class StallTimer {
    /** Time without a response after which a target counts as stalled, as a multiple of the route's objective. */
    private static final double TIMEOUT_PER_OBJECTIVE = 1.7;

    private static final Duration MINIMUM_TIMEOUT = Duration.ofMillis(350);

    private final IngressContext context;
    private Disposable timer = Disposable.disposed();

    StallTimer(IngressContext context) {
        this.context = context;
    }

    /** Returns the timeout of a request whose prompt is not expected to take longer. */
    static Duration defaultTimeout(Duration latencyObjective) {
        Duration timeout = Duration.ofNanos((long) (latencyObjective.toNanos() * TIMEOUT_PER_OBJECTIVE));
        return timeout.compareTo(MINIMUM_TIMEOUT) < 0 ? MINIMUM_TIMEOUT : timeout;
    }

    /** Starts the timer for an exchange; runs {@code onStalled} unless the target responds to any request in time. */
    void start(TargetExchange exchange, Duration timeout, Runnable onStalled) {
        stop();
        timer = context.timers().after(timeout).subscribe(() -> {
            if (!exchange.ended() && exchange.target().lastResponseAt() < exchange.startedAt()) {
                onStalled.run();
            }
        });
    }

    void stop() {
        timer.dispose();
    }
}
