package io.fireflywalk.services.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against a background loop that ends for good at the first unexpected error. */
class TimerServiceTest {
    private final TestScheduler scheduler = new TestScheduler();
    private final TimerService timers = new SchedulerTimerService(scheduler);

    @Test
    void loopGoesOnAfterAnErrorAndEndsWhenDisposedOf() {
        AtomicInteger runs = new AtomicInteger();
        Disposable loop = timers.repeat(Duration.ofSeconds(1), "test", () -> {
            if (runs.incrementAndGet() % 2 == 1) {
                throw new IllegalStateException("unexpected");
            }
        });
        scheduler.advanceTimeBy(5, TimeUnit.SECONDS);
        assertEquals(5, runs.get());
        loop.dispose();
        scheduler.advanceTimeBy(5, TimeUnit.SECONDS);
        assertEquals(5, runs.get());
    }
}
