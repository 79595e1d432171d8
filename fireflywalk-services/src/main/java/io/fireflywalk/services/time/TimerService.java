package io.fireflywalk.services.time;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import org.jboss.logging.Logger;

/** The only source of time. Components subscribe to its streams and read its clocks. Thread-safe. */
public interface TimerService {

    /** Returns monotonic time in nanoseconds, comparable only within the process. */
    long monotonicNanoseconds();

    /** Returns wall-clock time in milliseconds since 1970-01-01T00:00Z, for usage windows and log lines only. */
    long wallClockMilliseconds();

    /** Completes once after the delay. */
    Completable after(Duration delay);

    /** Emits 0, 1, 2 and so on, once per period. Drops ticks that the subscriber has not requested. */
    Flowable<Long> every(Duration period);

    /**
     * Runs a task once per period until it is disposed of. An error of the task is logged and does not end the loop,
     * because one bad input must not stop heartbeats, leases or reports.
     *
     * @param name name of the loop in the log
     */
    default Disposable repeat(Duration period, String name, Runnable task) {
        return every(period).subscribe(tick -> {
            try {
                task.run();
            } catch (RuntimeException exception) {
                Logger.getLogger(TimerService.class).errorf(exception, "event=loop_error loop=%s", name);
            }
        });
    }

    /** Returns the scheduler on which the streams emit, for operators such as {@code timeout}. */
    Scheduler scheduler();
}
