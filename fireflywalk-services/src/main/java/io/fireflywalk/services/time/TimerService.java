package io.fireflywalk.services.time;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import java.time.Duration;

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

    /** Returns the scheduler on which the streams emit, for operators such as {@code timeout}. */
    Scheduler scheduler();
}
