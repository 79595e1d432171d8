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
 * Open-loop load generator: starts requests as a Poisson process, whether or not earlier ones have completed. Latency
 * counts from the intended start, so that a stall counts for every request that it delays. Confined to one event loop.
 */
final class OpenLoopLoad {
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;
    private static final Duration TICK_PERIOD = Duration.ofMillis(1);

    private final TimerService timers;
    private final double requestsPerSecond;
    private final Random random;
    private final Supplier<Future<?>> sendRequest;

    private final Histogram latencyMicroseconds = new Histogram(60_000_000L, 3);
    private final Promise<Outcome> completion = Promise.promise();
    private long nextStart;
    private long loadEnd;
    private long inFlight;
    private long failures;
    private boolean allStarted;

    OpenLoopLoad(TimerService timers, double requestsPerSecond, long seed, Supplier<Future<?>> sendRequest) {
        this.timers = timers;
        this.requestsPerSecond = requestsPerSecond;
        this.random = new Random(seed);
        this.sendRequest = sendRequest;
    }

    Future<Outcome> run(Duration duration) {
        nextStart = timers.monotonicNanoseconds();
        loadEnd = nextStart + duration.toNanos();
        Disposable ticks = timers.every(TICK_PERIOD).subscribe(tick -> startDueRequests());
        return completion.future().onComplete(ignored -> ticks.dispose());
    }

    private void startDueRequests() {
        long now = timers.monotonicNanoseconds();
        while (nextStart <= now && nextStart < loadEnd) {
            start(nextStart);
            nextStart += (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * NANOSECONDS_PER_SECOND);
        }
        if (nextStart >= loadEnd && !allStarted) {
            allStarted = true;
            completeIfIdle();
        }
    }

    private void start(long intendedStart) {
        inFlight++;
        sendRequest.get().onComplete(result -> {
            inFlight--;
            if (result.succeeded()) {
                latencyMicroseconds.recordValue((timers.monotonicNanoseconds() - intendedStart) / 1000);
            } else {
                failures++;
            }
            completeIfIdle();
        });
    }

    private void completeIfIdle() {
        if (allStarted && inFlight == 0) {
            completion.tryComplete(new Outcome(latencyMicroseconds, failures));
        }
    }

    /** Latencies of the successful requests in microseconds, and the number of failed ones. */
    record Outcome(Histogram latencyMicroseconds, long failures) {}
}
