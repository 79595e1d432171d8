package io.fireflywalk.benchmark.requestpath;

import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.Random;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/**
 * Starts requests at random times of a fixed mean rate, whether or not earlier ones have ended. Latency counts from the
 * intended start, so that a stall counts for every request that it delays. Confined to one event loop.
 */
final class OpenLoopLoad {
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;
    private static final Duration TICK = Duration.ofMillis(1);

    private final TimerService timers;
    private final double requestsPerSecond;
    private final Random random;
    private final Supplier<Future<?>> request;

    private final Histogram latencyMicroseconds = new Histogram(60_000_000L, 3);
    private final Promise<Outcome> ended = Promise.promise();
    private long nextStart;
    private long end;
    private long running;
    private long failures;
    private boolean allStarted;

    OpenLoopLoad(TimerService timers, double requestsPerSecond, long seed, Supplier<Future<?>> request) {
        this.timers = timers;
        this.requestsPerSecond = requestsPerSecond;
        this.random = new Random(seed);
        this.request = request;
    }

    Future<Outcome> run(Duration duration) {
        nextStart = timers.monotonicNanoseconds();
        end = nextStart + duration.toNanos();
        Disposable ticks = timers.every(TICK).subscribe(tick -> startDueRequests());
        return ended.future().onComplete(ignored -> ticks.dispose());
    }

    private void startDueRequests() {
        long now = timers.monotonicNanoseconds();
        while (nextStart <= now && nextStart < end) {
            start(nextStart);
            nextStart += (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * NANOSECONDS_PER_SECOND);
        }
        if (nextStart >= end && !allStarted) {
            allStarted = true;
            finishIfIdle();
        }
    }

    private void start(long intendedStart) {
        running++;
        request.get().onComplete(result -> {
            running--;
            if (result.succeeded()) {
                latencyMicroseconds.recordValue((timers.monotonicNanoseconds() - intendedStart) / 1000);
            } else {
                failures++;
            }
            finishIfIdle();
        });
    }

    private void finishIfIdle() {
        if (allStarted && running == 0) {
            ended.tryComplete(new Outcome(latencyMicroseconds, failures));
        }
    }

    /** Latencies in microseconds and the number of failed requests. */
    record Outcome(Histogram latencyMicroseconds, long failures) {}
}
