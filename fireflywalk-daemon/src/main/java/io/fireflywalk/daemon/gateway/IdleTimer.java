package io.fireflywalk.daemon.gateway;

import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;

/**
 * Calls back when no progress has been recorded for the idle limit. Recording progress only reads the clock; the timer
 * is rescheduled when it fires, so that the cost does not grow with the number of recordings. Confined to one event loop.
 */
final class IdleTimer {
    private final TimerService timers;
    private final Runnable onIdle;
    private Disposable timer = Disposable.disposed();
    private long idleLimitNanoseconds;
    private long lastProgressNanoseconds;
    private boolean suspended;

    IdleTimer(TimerService timers, Runnable onIdle) {
        this.timers = timers;
        this.onIdle = onIdle;
    }

    /** Starts or restarts the timer with an idle limit. */
    void start(Duration limit) {
        timer.dispose();
        idleLimitNanoseconds = limit.toNanos();
        lastProgressNanoseconds = timers.monotonicNanoseconds();
        suspended = false;
        schedule(idleLimitNanoseconds);
    }

    void progress() {
        lastProgressNanoseconds = timers.monotonicNanoseconds();
    }

    /** Suspends expiry while flow control keeps the peer from making progress. */
    void suspend() {
        suspended = true;
    }

    /** Ends the suspension and restarts the idle period. */
    void resume() {
        suspended = false;
        progress();
    }

    void stop() {
        timer.dispose();
    }

    private void schedule(long nanoseconds) {
        timer = timers.after(Duration.ofNanos(Math.max(1, nanoseconds))).subscribe(this::checkIdle);
    }

    private void checkIdle() {
        long elapsed = timers.monotonicNanoseconds() - lastProgressNanoseconds;
        if (suspended) {
            schedule(idleLimitNanoseconds);
        } else if (elapsed < idleLimitNanoseconds) {
            schedule(idleLimitNanoseconds - elapsed);
        } else {
            onIdle.run();
        }
    }
}
