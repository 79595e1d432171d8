package io.fireflywalk.daemon.ingress;

import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import org.jboss.logging.Logger;

/**
 * Detects that the event loop is behind because the process was paused or lacks processor time. Events of different
 * connections that arrived meanwhile are then handled in any order. Confined to one event loop.
 */
final class EventLoopMonitor {
    private static final Logger LOG = Logger.getLogger(EventLoopMonitor.class);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
    /** A shorter delay leaves enough of the time within which a caller's disconnect must take effect. */
    private static final Duration TOLERANCE = Duration.ofMillis(150);
    /** Time in which the events that have accumulated are handled. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(1);

    private final TimerService timers;
    private final IngressMetrics metrics;
    private long checkedAt;
    private long behindUntil;

    EventLoopMonitor(TimerService timers, IngressMetrics metrics) {
        this.timers = timers;
        this.metrics = metrics;
        this.checkedAt = timers.monotonicNanoseconds();
        this.behindUntil = checkedAt;
    }

    void start() {
        var unused = timers.repeat(CHECK_INTERVAL, "event loop delay", this::check);
    }

    private void check() {
        long now = timers.monotonicNanoseconds();
        long delay = now - checkedAt - CHECK_INTERVAL.toNanos();
        checkedAt = now;
        if (delay > TOLERANCE.toNanos()) {
            behindUntil = now + RECOVERY_TIME.toNanos();
            metrics.count("event_loop_delays");
            LOG.debugf("event=event_loop_delayed ms=%d", Duration.ofNanos(delay).toMillis());
        }
    }

    /** Tells whether events may be waiting for longer than callers and targets expect. */
    boolean isBehind() {
        long now = timers.monotonicNanoseconds();
        return now < behindUntil
                || now - checkedAt > CHECK_INTERVAL.plus(TOLERANCE).toNanos();
    }
}
