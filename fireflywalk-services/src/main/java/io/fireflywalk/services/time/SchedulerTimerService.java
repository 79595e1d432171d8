package io.fireflywalk.services.time;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Timer service on an RxJava scheduler, such as a test scheduler whose clock the test advances. Thread-safe. */
public final class SchedulerTimerService implements TimerService {
    private final Scheduler scheduler;

    public SchedulerTimerService(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    @Override
    public long monotonicNanoseconds() {
        return scheduler.now(TimeUnit.NANOSECONDS);
    }

    @Override
    public long wallClockMilliseconds() {
        return scheduler.now(TimeUnit.MILLISECONDS);
    }

    @Override
    public Completable after(Duration delay) {
        return Completable.timer(delay.toNanos(), TimeUnit.NANOSECONDS, scheduler);
    }

    @Override
    public Flowable<Long> every(Duration period) {
        return Flowable.interval(period.toNanos(), TimeUnit.NANOSECONDS, scheduler)
                .onBackpressureDrop();
    }

    @Override
    public Scheduler scheduler() {
        return scheduler;
    }
}
