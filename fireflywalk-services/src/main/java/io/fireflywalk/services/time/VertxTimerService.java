package io.fireflywalk.services.time;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Timer service of one Vert.x context; subscribers run on the event loop of the context. Thread-safe. */
public final class VertxTimerService implements TimerService {
    private final Vertx vertx;
    private final Scheduler scheduler;

    public VertxTimerService(Vertx vertx, Context context) {
        this.vertx = vertx;
        this.scheduler = Schedulers.from(command -> context.runOnContext(ignored -> command.run()));
    }

    @Override
    public long monotonicNanoseconds() {
        return System.nanoTime();
    }

    @Override
    public long wallClockMilliseconds() {
        return System.currentTimeMillis();
    }

    @Override
    public Completable after(Duration delay) {
        return Completable.create(emitter -> {
            long timerId = vertx.setTimer(delayMilliseconds(delay), ignored -> emitter.onComplete());
            emitter.setCancellable(() -> vertx.cancelTimer(timerId));
        });
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

    private static long delayMilliseconds(Duration delay) {
        return Math.max(1, delay.toMillis());
    }
}
