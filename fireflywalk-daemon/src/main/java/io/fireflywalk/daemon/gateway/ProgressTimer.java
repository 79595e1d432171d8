package io.fireflywalk.daemon.gateway;

import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;

/**
 * Calls back when no progress was noted for a while. A note of progress only reads the clock; the timer is set again
 * when it fires, so that the cost does not grow with the number of notes. Confined to one event loop.
 */
final class ProgressTimer {
    private final TimerService timers;
    private final Runnable expired;
    private Disposable timer = Disposable.disposed();
    private long limitNanoseconds;
    private long lastProgress;
    private boolean suspended;

    ProgressTimer(TimerService timers, Runnable expired) {
        this.timers = timers;
        this.expired = expired;
    }

    /** Starts anew with a limit. */
    void start(Duration limit) {
        timer.dispose();
        limitNanoseconds = limit.toNanos();
        lastProgress = timers.monotonicNanoseconds();
        suspended = false;
        arm(limitNanoseconds);
    }

    /** Notes progress. */
    void progress() {
        lastProgress = timers.monotonicNanoseconds();
    }

    /** Stops the count while the other side cannot make progress through no fault of its own. */
    void suspend() {
        suspended = true;
    }

    /** Continues the count. */
    void resume() {
        suspended = false;
        progress();
    }

    void stop() {
        timer.dispose();
    }

    private void arm(long nanoseconds) {
        timer = timers.after(Duration.ofNanos(Math.max(1, nanoseconds))).subscribe(this::check);
    }

    private void check() {
        long elapsed = timers.monotonicNanoseconds() - lastProgress;
        if (suspended) {
            arm(limitNanoseconds);
        } else if (elapsed < limitNanoseconds) {
            arm(limitNanoseconds - elapsed);
        } else {
            expired.run();
        }
    }
}
