package io.fireflywalk.daemon.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.placement.Assignment;
import io.fireflywalk.core.placement.FleetView;
import io.fireflywalk.core.placement.ModelDemand;
import io.fireflywalk.core.placement.PendingChange;
import io.fireflywalk.core.placement.PlacementDecision;
import io.fireflywalk.core.placement.PlacementPlanner;
import io.fireflywalk.core.placement.PlacementSettings;
import io.fireflywalk.core.placement.RunnerState;
import io.fireflywalk.core.placement.RunnerView;
import io.fireflywalk.core.placement.ServedModel;
import io.fireflywalk.core.placement.Work;
import io.fireflywalk.core.routing.RunnerRole;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against decisions that leave the process without the lease, and against a forgotten change. */
class PlacementLoopTest {
    private static final ServedModel MODEL = new ServedModel("draft", "1", Optional.empty());
    private static final Assignment PREFILL = new Assignment(MODEL, RunnerRole.PREFILL);

    private final TestScheduler scheduler = new TestScheduler();
    private final List<PlacementDecision> engineOrders = new ArrayList<>();
    private final List<PlacementDecision> targetOrders = new ArrayList<>();
    private final List<PendingChange> recorded = new ArrayList<>();
    private Optional<Long> poolToken = Optional.empty();
    private Optional<Long> zoneToken = Optional.empty();
    private boolean senderFails;
    private int views;

    @Test
    void sendsNothingWithoutLeases() {
        start();
        scheduler.advanceTimeBy(30, TimeUnit.SECONDS);
        assertTrue(views >= 29);
        assertEquals(List.of(), engineOrders);
        assertEquals(List.of(), targetOrders);
    }

    @Test
    void sendsEngineOrdersWithPoolLeaseAndTargetOrdersWithZoneLease() {
        poolToken = Optional.of(7L);
        start();
        scheduler.advanceTimeBy(2, TimeUnit.SECONDS);
        assertTrue(engineOrders.get(0) instanceof PlacementDecision.StartDrain);
        assertEquals(List.of(), targetOrders);
        zoneToken = Optional.of(3L);
        scheduler.advanceTimeBy(60, TimeUnit.SECONDS);
        assertTrue(targetOrders.get(0) instanceof PlacementDecision.OrderTargets);
    }

    @Test
    void successorContinuesRecordedChange() {
        poolToken = Optional.of(8L);
        recorded.add(new PendingChange(
                "change-1",
                "runner-0",
                PREFILL,
                PREFILL.withRole(RunnerRole.MIXED),
                PendingChange.Phase.ORDERED,
                0,
                0));
        start();
        scheduler.advanceTimeBy(60, TimeUnit.SECONDS);
        assertTrue(engineOrders.stream()
                .noneMatch(decision -> decision instanceof PlacementDecision.StartDrain start
                        && start.change().runner().equals("runner-0")));
    }

    @Test
    void failedSendPausesTheLoop() {
        poolToken = Optional.of(7L);
        senderFails = true;
        start();
        scheduler.advanceTimeBy(200, TimeUnit.SECONDS);
        assertTrue(views < 100, "runs " + views);
    }

    private void start() {
        List<RunnerView> runners = new ArrayList<>();
        for (int index = 0; index < 10; index++) {
            runners.add(
                    new RunnerView("runner-" + index, "a", TargetCharge.REGULAR, RunnerState.SERVING, PREFILL, 2, 0));
        }
        FleetView view = new FleetView(
                List.of("a"),
                runners,
                List.of(new ModelDemand(MODEL, List.of(new Work(1, 9)), 1, false, 0, 0, 1, 0)),
                List.of(),
                List.of());
        PlacementAuthority authority = new PlacementAuthority() {
            @Override
            public Optional<Long> poolToken(String pool) {
                return poolToken;
            }

            @Override
            public Optional<Long> zoneToken(String availabilityZone) {
                return zoneToken;
            }
        };
        FleetViewSource source = new FleetViewSource() {
            @Override
            public Single<FleetView> view() {
                views++;
                return Single.just(view);
            }

            @Override
            public Single<List<PendingChange>> recordedChanges() {
                return Single.just(recorded);
            }
        };
        new PlacementLoop(
                        new PlacementLoop.Settings("pool", Duration.ofSeconds(1), Duration.ofMillis(500), 100, 1),
                        new PlacementPlanner(PlacementSettings.defaults()),
                        authority,
                        source,
                        (decision, token) -> record(engineOrders, decision),
                        (decision, token) -> record(targetOrders, decision),
                        new SchedulerTimerService(scheduler),
                        new Random(1),
                        new MetricRegistry())
                .start();
    }

    private Completable record(List<PlacementDecision> list, PlacementDecision decision) {
        list.add(decision);
        return senderFails ? Completable.error(new IllegalStateException("no store")) : Completable.complete();
    }
}
