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
 * Runs a round periodically, with jitter, a deadline for each round, bounded exponential backoff after failures, and
 * metrics for rounds and failures. Confined to one event loop.
 */
final class JitteredLoop {
    private static final Logger LOG = Logger.getLogger(JitteredLoop.class);
    private static final double JITTER = 0.1;
    private static final double INITIAL_BACKOFF_FACTOR = 0.25;
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 2;

    private final String name;
    private final TimerService timers;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final Duration roundPeriod;
    private final Duration roundDeadline;
    private final Supplier<Completable> round;
    private final SerialDisposable scheduled = new SerialDisposable();
    private int consecutiveFailures;
    private boolean inRound;
    private boolean triggered;

    JitteredLoop(
            String name,
            TimerService timers,
            RandomGenerator random,
            MetricRegistry metrics,
            Duration roundPeriod,
            Duration roundDeadline,
            Supplier<Completable> round) {
        this.name = name;
        this.timers = timers;
        this.random = random;
        this.metrics = metrics;
        this.roundPeriod = roundPeriod;
        this.roundDeadline = roundDeadline;
        this.round = round;
    }

    void start() {
        schedule((long) (roundPeriod.toNanos() * random.nextDouble() * INITIAL_BACKOFF_FACTOR));
    }

    /** Starts a round immediately, or right after the one in progress, without waiting for the period to end. */
    void trigger() {
        if (inRound) {
            triggered = true;
        } else if (!scheduled.isDisposed()) {
            schedule(0);
        }
    }

    void stop() {
        scheduled.dispose();
    }

    private void schedule(long delayNanoseconds) {
        Disposable next = timers.after(Duration.ofNanos(delayNanoseconds))
                .andThen(Completable.defer(() -> {
                            inRound = true;
                            return round.get();
                        })
                        .timeout(roundDeadline.toNanos(), TimeUnit.NANOSECONDS, timers.scheduler())
                        .doFinally(() -> inRound = false))
                .subscribe(this::onSuccess, this::onFailure);
        scheduled.set(next);
    }

    private void onSuccess() {
        consecutiveFailures = 0;
        metrics.meter(name + "_rounds").mark();
        schedule(triggered ? 0 : withJitter(roundPeriod.toNanos()));
        triggered = false;
    }

    private void onFailure(Throwable cause) {
        metrics.meter(name + "_failures").mark();
        LOG.warnf("event=round_failed loop=%s failures=%d cause=%s", name, consecutiveFailures + 1, cause);
        double factor = INITIAL_BACKOFF_FACTOR * (1 << Math.min(consecutiveFailures, MAXIMUM_BACKOFF_DOUBLINGS));
        consecutiveFailures++;
        schedule(withJitter((long) (roundPeriod.toNanos() * factor)));
    }

    private long withJitter(long nanoseconds) {
        return (long) (nanoseconds * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }
}
