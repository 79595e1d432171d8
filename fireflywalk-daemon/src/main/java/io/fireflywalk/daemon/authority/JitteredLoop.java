package io.fireflywalk.daemon.authority;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Background loop with a period, a deadline for each round, jitter, exponential backoff after failures up to a bound,
 * metrics for rounds and failures, and a stop operation. Confined to one event loop.
 */
final class JitteredLoop {
    private static final Logger LOG = Logger.getLogger(JitteredLoop.class);
    private static final double JITTER = 0.1;
    private static final double FIRST_BACKOFF = 0.25;
    private static final int MAXIMUM_DOUBLINGS = 2;

    private final String name;
    private final TimerService timers;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final Duration period;
    private final Duration deadline;
    private final Supplier<Completable> round;
    private final SerialDisposable running = new SerialDisposable();
    private int failures;
    private boolean inRound;
    private boolean hastened;

    JitteredLoop(
            String name,
            TimerService timers,
            RandomGenerator random,
            MetricRegistry metrics,
            Duration period,
            Duration deadline,
            Supplier<Completable> round) {
        this.name = name;
        this.timers = timers;
        this.random = random;
        this.metrics = metrics;
        this.period = period;
        this.deadline = deadline;
        this.round = round;
    }

    void start() {
        schedule((long) (period.toNanos() * random.nextDouble() * FIRST_BACKOFF));
    }

    /** Starts a round now, or right after the one in progress, instead of at the end of the period. */
    void hasten() {
        if (inRound) {
            hastened = true;
        } else if (!running.isDisposed()) {
            schedule(0);
        }
    }

    void stop() {
        running.dispose();
    }

    private void schedule(long delayNanoseconds) {
        Disposable next = timers.after(Duration.ofNanos(delayNanoseconds))
                .andThen(Completable.defer(() -> {
                            inRound = true;
                            return round.get();
                        })
                        .timeout(deadline.toNanos(), TimeUnit.NANOSECONDS, timers.scheduler())
                        .doFinally(() -> inRound = false))
                .subscribe(this::succeeded, this::failed);
        running.set(next);
    }

    private void succeeded() {
        failures = 0;
        metrics.meter(name + "_rounds").mark();
        schedule(hastened ? 0 : jittered(period.toNanos()));
        hastened = false;
    }

    private void failed(Throwable cause) {
        metrics.meter(name + "_failures").mark();
        LOG.warnf("event=round_failed loop=%s failures=%d cause=%s", name, failures + 1, cause);
        double factor = FIRST_BACKOFF * (1 << Math.min(failures, MAXIMUM_DOUBLINGS));
        failures++;
        schedule(jittered((long) (period.toNanos() * factor)));
    }

    private long jittered(long nanoseconds) {
        return (long) (nanoseconds * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }
}
