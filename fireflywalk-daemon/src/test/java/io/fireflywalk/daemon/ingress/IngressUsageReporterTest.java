package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.daemon.ingress.ControlPlane.LeaseHolder;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against windows that are reported late, with different totals, or without the counts of an instance. */
class IngressUsageReporterTest {
    private final TestScheduler scheduler = new TestScheduler();
    private final TimerService timers = new SchedulerTimerService(scheduler);
    private final InMemoryFleetStore store = new InMemoryFleetStore(scheduler);
    private final Map<Long, Set<Map<String, Long>>> reported = new HashMap<>();
    private boolean reportsFail;

    private final ControlPlane controlPlane = new ControlPlane() {
        @Override
        public Single<Boolean> reportUsage(LeaseHolder holder, long window, Map<String, Long> requestsByAccount) {
            reported.computeIfAbsent(window, key -> new HashSet<>()).add(Map.copyOf(requestsByAccount));
            return reportsFail ? Single.error(new IllegalStateException("response lost")) : Single.just(true);
        }

        @Override
        public Single<Boolean> setTargetCount(
                LeaseHolder holder, String service, String availabilityZone, boolean preemptible, int count) {
            return Single.just(true);
        }
    };

    private final class Instance {
        final UsageCounter counter = new UsageCounter(timers, 5000);
        final FleetCoordinator coordinator;
        final IngressUsageReporter reporter;

        Instance(int index) {
            IngressSettings settings = FleetCoordinatorTest.settings("instance-" + index);
            coordinator = new FleetCoordinator(settings, store, timers, new Random(index));
            PeerMessenger messenger = new SilentMessenger();
            FleetBroadcaster broadcaster = new FleetBroadcaster(messenger, settings, coordinator, new Random(index));
            UsageExchange exchange = new UsageExchange(settings, store, coordinator, broadcaster, messenger, timers);
            reporter = new IngressUsageReporter(settings, store, controlPlane, counter, coordinator, exchange, timers);
            coordinator.start();
            reporter.start();
        }
    }

    private List<Instance> start(int count) {
        List<Instance> instances = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            instances.add(new Instance(index));
        }
        return instances;
    }

    private void advanceTime(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    @Test
    void reportSumsTheCountsOfAllInstances() {
        List<Instance> instances = start(3);
        advanceTime(10_100);
        instances.forEach(instance -> instance.counter.requestStarted("account"));
        advanceTime(12_000);
        assertEquals(Set.of(Map.of("account", 3L)), reported.get(2L));
    }

    @ParameterizedTest
    @CsvSource({"4000, 2", "9000, 1"})
    void windowWaitsForAnInstanceWhoseWritesFail(long outage, long expected) {
        List<Instance> instances = start(2);
        advanceTime(10_100);
        instances.forEach(instance -> instance.counter.requestStarted("account"));
        advanceTime(4_500);
        store.failingKeyParts.add("instance-1/");
        advanceTime(outage);
        store.failingKeyParts.clear();
        advanceTime(12_000);
        assertEquals(Set.of(Map.of("account", expected)), reported.get(2L));
    }

    @Test
    void retriedReportsHaveTheSameTotals() {
        List<Instance> instances = start(3);
        reportsFail = true;
        for (int step = 0; step < 300; step++) {
            instances.get(step % 3).counter.requestStarted("account-" + step % 2);
            advanceTime(100);
        }
        reportsFail = false;
        instances.get(0).coordinator.relinquishLease();
        advanceTime(20_000);
        assertTrue(reported.size() > 3);
        reported.values().forEach(totals -> assertEquals(1, totals.size()));
    }

    @Test
    void countsOfTheOpenWindowAreStoredAtShutdown() {
        List<Instance> instances = start(2);
        advanceTime(10_100);
        instances.get(0).counter.requestStarted("account");
        instances.get(0).reporter.stop().test().assertComplete();
        instances.get(0).coordinator.stop();
        advanceTime(20_000);
        assertEquals(Set.of(Map.of("account", 1L)), reported.get(2L));
    }

    @Test
    void restartedFleetReportsWindowsLeftOpenBeforeTheRestart() {
        Instance stopped = start(1).get(0);
        advanceTime(10_100);
        stopped.counter.requestStarted("account");
        stopped.reporter.stop().test().assertComplete();
        stopped.coordinator.stop();
        advanceTime(4_000);
        start(2);
        advanceTime(9_000);
        assertEquals(Set.of(Map.of("account", 1L)), reported.get(2L));
    }

    @Test
    void takeoverReportsAllDueWindowsWithoutDelay() {
        List<Instance> instances = start(2);
        advanceTime(10_100);
        store.unavailable = true;
        advanceTime(12_000);
        store.unavailable = false;
        reported.clear();
        advanceTime(6_500);
        assertTrue(reported.size() >= 3, reported.keySet().toString());
        assertEquals(2, instances.size());
    }
}
