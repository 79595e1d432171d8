package io.fireflywalk.daemon.placement;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.placement.FleetView;
import io.fireflywalk.core.placement.PendingChange;
import io.fireflywalk.core.placement.PlacementDecision;
import io.fireflywalk.core.placement.PlacementOutcome;
import io.fireflywalk.core.placement.PlacementPlanner;
import io.fireflywalk.core.placement.PlacementScope;
import io.fireflywalk.core.placement.PlacementState;
import io.fireflywalk.core.placement.WeightStoreBudget;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/**
 * Runs placement of one model pool each period and hands its decisions to the order senders. Confined to one event loop.
 *
 * <p>A run must end within the deadline; after a failed run the next ones are skipped with doubling, jittered pauses. The
 * state is dropped when the pool's lease or its fencing token changes, and after a failed send, so that it is read again
 * from the recorded changes rather than believed. A fresh state starts with an empty weight-store budget, because the
 * earlier holder may just have used it.
 */
public final class PlacementLoop {
    private static final Logger LOG = Logger.getLogger(PlacementLoop.class);
    private static final int MAXIMUM_PAUSE_PERIODS = 32;

    private final Settings settings;
    private final PlacementPlanner planner;
    private final PlacementAuthority authority;
    private final FleetViewSource views;
    private final EngineOrderSender engineOrders;
    private final TargetOrderSender targetOrders;
    private final TimerService timers;
    private final RandomGenerator random;
    private final Counter decided;
    private final Counter failed;
    private Optional<PlacementState> state = Optional.empty();
    private Optional<Long> lastToken = Optional.empty();
    private Optional<Disposable> subscription = Optional.empty();
    private int failures;
    private int pause;

    public PlacementLoop(
            Settings settings,
            PlacementPlanner planner,
            PlacementAuthority authority,
            FleetViewSource views,
            EngineOrderSender engineOrders,
            TargetOrderSender targetOrders,
            TimerService timers,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.settings = settings;
        this.planner = planner;
        this.authority = authority;
        this.views = views;
        this.engineOrders = engineOrders;
        this.targetOrders = targetOrders;
        this.timers = timers;
        this.random = random;
        this.decided = metrics.counter("placement_decisions");
        this.failed = metrics.counter("placement_runs_failed");
    }

    /** Starts to run. */
    public void start() {
        stop();
        subscription = Optional.of(timers.every(settings.period())
                .concatMapCompletable(tick -> runUnlessPaused(), 1)
                .subscribe());
    }

    /** Stops; an order that is being recorded may still take effect. */
    public void stop() {
        subscription.ifPresent(Disposable::dispose);
        subscription = Optional.empty();
    }

    private Completable runUnlessPaused() {
        if (pause > 0) {
            pause--;
            return Completable.complete();
        }
        return Completable.defer(this::run)
                .timeout(settings.deadline().toNanos(), TimeUnit.NANOSECONDS, timers.scheduler())
                .observeOn(timers.scheduler())
                .doOnComplete(() -> failures = 0)
                .doOnError(this::afterFailure)
                .onErrorComplete();
    }

    private Completable run() {
        Optional<Long> token = authority.poolToken(settings.pool());
        if (!token.equals(lastToken)) {
            lastToken = token;
            state = Optional.empty();
        }
        return views.view()
                .flatMapCompletable(view -> presentState(token.isPresent())
                        .flatMapCompletable(present -> decide(view, present, token.isPresent())));
    }

    private Single<PlacementState> presentState(boolean holdsPool) {
        if (state.isPresent()) {
            return Single.just(state.get());
        }
        WeightStoreBudget empty = new WeightStoreBudget(
                settings.budgetGigabytes(), settings.budgetGigabytesPerSecond(), 0, timers.monotonicNanoseconds());
        PlacementState initial = PlacementState.initial(empty);
        if (!holdsPool) {
            return Single.just(initial);
        }
        return views.recordedChanges().map(changes -> withPending(initial, changes));
    }

    private PlacementState withPending(PlacementState initial, List<PendingChange> changes) {
        Map<String, PendingChange> pending = new LinkedHashMap<>();
        // Monotonic times of another process mean nothing here, so each phase counts from now.
        long now = timers.monotonicNanoseconds();
        changes.forEach(change -> pending.put(
                change.runner(),
                new PendingChange(
                        change.id(),
                        change.runner(),
                        change.from(),
                        change.to(),
                        change.phase(),
                        now,
                        change.returnAttempts())));
        return new PlacementState(
                pending,
                initial.lastChange(),
                initial.surplusSince(),
                initial.zoneLost(),
                initial.budget(),
                initial.nextChange());
    }

    private Completable decide(FleetView view, PlacementState present, boolean holdsPool) {
        Set<String> zones = view.availabilityZones().stream()
                .filter(zone -> authority.zoneToken(zone).isPresent())
                .collect(Collectors.toUnmodifiableSet());
        PlacementOutcome outcome =
                planner.plan(view, present, new PlacementScope(holdsPool, zones), timers.monotonicNanoseconds());
        state = Optional.of(outcome.state());
        return Flowable.fromIterable(outcome.decisions()).concatMapCompletable(this::carryOut);
    }

    private Completable carryOut(PlacementDecision decision) {
        LOG.infof("event=placement_decision pool=%s decision=\"%s\"", settings.pool(), decision);
        decided.inc();
        if (decision instanceof PlacementDecision.Freeze) {
            return Completable.complete();
        }
        if (decision instanceof PlacementDecision.OrderTargets order) {
            return sendTarget(decision, order.pool().availabilityZone());
        }
        if (decision instanceof PlacementDecision.ReleaseTarget release) {
            return sendTarget(decision, release.pool().availabilityZone());
        }
        Optional<Long> token = authority.poolToken(settings.pool());
        return token.isEmpty() ? lost(decision) : engineOrders.send(decision, token.get());
    }

    private Completable sendTarget(PlacementDecision decision, String zone) {
        Optional<Long> token = authority.zoneToken(zone);
        return token.isEmpty() ? lost(decision) : targetOrders.send(decision, token.get());
    }

    private Completable lost(PlacementDecision decision) {
        return Completable.error(new IllegalStateException("the lease was lost before " + decision));
    }

    private void afterFailure(Throwable cause) {
        state = Optional.empty();
        failed.inc();
        failures++;
        int most = Math.min(MAXIMUM_PAUSE_PERIODS, 1 << Math.min(failures, 5));
        pause = random.nextInt(most + 1);
        LOG.warnf(
                "event=placement_run_failed pool=%s failures=%d pause_periods=%d cause=\"%s\"",
                settings.pool(), failures, pause, cause);
    }

    /**
     * Settings of the loop.
     *
     * @param pool name of the model pool, as in its lease
     * @param period time between two runs
     * @param deadline time within which a run must end
     * @param budgetGigabytes most that may be read from the weight store at once
     * @param budgetGigabytesPerSecond refill of that budget
     */
    public record Settings(
            String pool, Duration period, Duration deadline, double budgetGigabytes, double budgetGigabytesPerSecond) {}
}
