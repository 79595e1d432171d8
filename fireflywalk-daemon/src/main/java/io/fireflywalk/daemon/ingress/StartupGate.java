package io.fireflywalk.daemon.ingress;

import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Holds requests that arrive after the start of the instance, before it has read the configuration and the targets.
 * After a stop of all instances many callers have one attempt left, and the tables are read within some 100 ms, so that a
 * refusal would cost these callers their response. Confined to one event loop.
 */
final class StartupGate {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);
    /** Time after which requests are no longer held: the store is slow or away then, and callers should go elsewhere. */
    private static final Duration MAXIMUM_TIME = Duration.ofSeconds(1);
    /** Bounds the held requests; their bodies are not read meanwhile. */
    private static final int MAXIMUM_REQUESTS = 256;

    private final TimerService timers;
    private final BooleanSupplier loaded;
    private final List<Runnable> held = new ArrayList<>();
    private boolean open;
    private long startedAt;
    private Disposable checks = Disposable.disposed();

    /**
     * Creates a gate.
     *
     * @param loaded tells whether requests can be dispatched
     */
    StartupGate(TimerService timers, BooleanSupplier loaded) {
        this.timers = timers;
        this.loaded = loaded;
    }

    /** Starts the time for which requests may be held. */
    void start() {
        startedAt = timers.monotonicNanoseconds();
        checks = timers.repeat(CHECK_INTERVAL, "startup gate", this::check);
    }

    /** Holds a request until its task runs; returns false if the request need not or must not be held. */
    boolean hold(Runnable dispatch) {
        check();
        if (open || held.size() >= MAXIMUM_REQUESTS) {
            return false;
        }
        held.add(dispatch);
        return true;
    }

    private void check() {
        boolean expired = timers.monotonicNanoseconds() - startedAt >= MAXIMUM_TIME.toNanos();
        if (open || !(expired || loaded.getAsBoolean())) {
            return;
        }
        open = true;
        checks.dispose();
        held.forEach(Runnable::run);
        held.clear();
    }
}
