package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.ingress.ServiceProfile.ScalingProfile;
import io.fireflywalk.daemon.ingress.ControlPlane.LeaseHolder;
import io.fireflywalk.daemon.ingress.FleetScalerTest.Decoder;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a fleet that is planned from a part of its targets, because the others had not registered yet. */
class LateRegistrationTest {
    private static final Decoder DECODER =
            new Decoder(new ScalingProfile(1, 100, Optional.of(0.2), Map.of("zone-a", 1.0)), false);
    private static final String KEY = "size/service";

    private final TestScheduler scheduler = new TestScheduler();
    private final TimerService timers = new SchedulerTimerService(scheduler);
    private final InMemoryFleetStore store = new InMemoryFleetStore(scheduler);
    private final TargetDirectory directory =
            new TargetDirectory(DECODER, timers, () -> Duration.ofMinutes(1), service -> 1000);

    private static final ControlPlane CONTROL_PLANE = new ControlPlane() {
        @Override
        public Single<Boolean> reportUsage(LeaseHolder holder, long window, Map<String, Long> requestsByAccount) {
            return Single.just(true);
        }

        @Override
        public Single<Boolean> setTargetCount(
                LeaseHolder holder, String service, String availabilityZone, boolean preemptible, int count) {
            return Single.just(true);
        }
    };

    @ParameterizedTest
    @CsvSource({"42, 0", "31, 500", "12, 2500"})
    void sizeIsStoredOnceAllTargetsHaveRegistered(int registeredAtFirst, int lastAfterMilliseconds) throws Exception {
        IngressSettings settings = FleetCoordinatorTest.settings("instance");
        FleetCoordinator coordinator = new FleetCoordinator(settings, store, timers, new Random(1));
        ConfigurationHolder configuration = new ConfigurationHolder(DECODER);
        configuration.applyIfNewer(Buffer.buffer("configuration"), "test");
        coordinator.start();
        ArrivedWorkExchange arrivedWork = FleetScalerTest.arrivedWork(
                settings, new PeerDatagrams(null), coordinator, configuration, directory, timers, false);
        new FleetScaler(
                        settings,
                        store,
                        CONTROL_PLANE,
                        (holder, target, stage) -> Single.just(true),
                        coordinator,
                        configuration,
                        directory,
                        new DemandPlanner(arrivedWork, new IngressMetrics(new MetricRegistry()), timers),
                        timers)
                .start();
        scheduler.advanceTimeBy(4900, TimeUnit.MILLISECONDS);
        int registered = registeredAtFirst;
        register(0, registered);
        int steps = Math.max(1, lastAfterMilliseconds / 500);
        for (int step = 1; step <= steps; step++) {
            scheduler.advanceTimeBy(500, TimeUnit.MILLISECONDS);
            int next = registeredAtFirst + (42 - registeredAtFirst) * step / steps;
            register(registered, next);
            registered = next;
        }
        scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
        String stored = store.read(FleetStore.Table.FLEET, KEY, KEY + '\0', 1)
                .map(page -> page.rows().get(0).value().orElseThrow().toString())
                .test()
                .assertComplete()
                .values()
                .get(0);
        assertEquals("{\"targets\":42}", stored);
    }

    private void register(int from, int to) {
        for (int number = from; number < to; number++) {
            String key = "zone-a/regular/" + number;
            directory.onChanges(List.of(new FleetRow(key, 1, Optional.of(Buffer.buffer("entry")))));
        }
    }
}
