package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.ArrivedWorkCounter;
import io.fireflywalk.core.ingress.CallerLimits;
import io.fireflywalk.core.ingress.PromptPlacement;
import io.fireflywalk.core.ingress.RoutingConfiguration;
import io.fireflywalk.core.ingress.RunnerLatencyModel;
import io.fireflywalk.core.ingress.ServiceProfile;
import io.fireflywalk.core.ingress.ServiceProfile.EngineProfile;
import io.fireflywalk.core.ingress.ServiceProfile.ScalingProfile;
import io.fireflywalk.core.ingress.TargetEntry;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import io.fireflywalk.daemon.ingress.ControlPlane.LeaseHolder;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a fleet that stays too small, and against scaling calls that are reverted before they take effect. */
class FleetScalerTest {
    static final IngressMetrics METRICS = new IngressMetrics(new MetricRegistry());
    private static final ScalingProfile SCALING =
            new ScalingProfile(1, 6, Optional.of(0.2), Map.of("zone-a", 1.0, "zone-b", 1.1));

    /** Derives the zone and kind of a target from its name, such as {@code zone-a/preemptible/3}. */
    record Decoder(ScalingProfile scaling, boolean staged) implements RowDecoder {
        @Override
        public String configurationKey() {
            return "config";
        }

        @Override
        public RoutingConfiguration configuration(Buffer value) throws FireflywalkException {
            Optional<EngineProfile> engine = staged ? Optional.of(new EngineProfile(12, 400_000)) : Optional.empty();
            return new RoutingConfiguration(
                    1,
                    List.of(),
                    List.of(new ServiceProfile("service", 100, engine, Optional.of(scaling))),
                    Map.of(),
                    true,
                    new CallerLimits(1000, 16_384, Duration.ofSeconds(1), Duration.ofSeconds(1)));
        }

        @Override
        public TargetEntry target(String key, Buffer value) {
            Stage stage = key.hashCode() % 2 == 0 ? Stage.PREFILL : Stage.DECODE;
            return new TargetEntry(
                    key,
                    "service",
                    "10.0.0.1",
                    80,
                    key.substring(0, 6),
                    8,
                    false,
                    key.contains("preemptible"),
                    staged ? stage : Stage.WHOLE,
                    1,
                    1);
        }
    }

    private static final RowDecoder DECODER = new Decoder(SCALING, false);

    private final TestScheduler scheduler = new TestScheduler();
    private final TimerService timers = new SchedulerTimerService(scheduler);
    private final InMemoryFleetStore store = new InMemoryFleetStore(scheduler);
    private final TargetDirectory directory =
            new TargetDirectory(DECODER, timers, () -> Duration.ofMinutes(1), service -> 1000);
    private final Set<String> zonesWithoutPreemptible = new HashSet<>();
    private final List<String> scalingCalls = new ArrayList<>();

    private final ControlPlane controlPlane = new ControlPlane() {
        @Override
        public Single<Boolean> reportUsage(LeaseHolder holder, long window, Map<String, Long> requestsByAccount) {
            return Single.just(true);
        }

        @Override
        public Single<Boolean> setTargetCount(
                LeaseHolder holder, String service, String availabilityZone, boolean preemptible, int count) {
            scalingCalls.add(availabilityZone + (preemptible ? "/preemptible/" : "/regular/") + count);
            return Single.just(!preemptible || !zonesWithoutPreemptible.contains(availabilityZone));
        }
    };

    @BeforeEach
    void start() {
        IngressSettings settings = FleetCoordinatorTest.settings("instance");
        FleetCoordinator coordinator = new FleetCoordinator(settings, store, timers, new Random(1));
        ConfigurationHolder configuration = new ConfigurationHolder(DECODER);
        configuration.applyIfNewer(Buffer.buffer("configuration"), "test");
        coordinator.start();
        registerTargets("zone-a/regular", 2);
        registerTargets("zone-b/regular", 2);
        ArrivedWorkExchange arrivedWork =
                arrivedWork(settings, new PeerDatagrams(null), coordinator, configuration, directory, timers, false);
        new FleetScaler(
                        settings,
                        store,
                        controlPlane,
                        (holder, target, stage) -> Single.just(true),
                        coordinator,
                        configuration,
                        directory,
                        new DemandPlanner(arrivedWork, METRICS, timers),
                        timers)
                .start();
        advanceTime(12_000);
    }

    static ArrivedWorkExchange arrivedWork(
            IngressSettings settings,
            PeerMessenger messenger,
            FleetCoordinator coordinator,
            ConfigurationHolder configuration,
            TargetDirectory directory,
            TimerService timers,
            boolean demandBased) {
        RunnerLatencyModel model = RunnerLatencyModel.defaults();
        return new ArrivedWorkExchange(
                settings,
                messenger,
                coordinator,
                configuration,
                directory,
                new PromptPlacement(model, new Random(1)),
                new ArrivedWorkCounter(model),
                service -> demandBased,
                timers,
                METRICS);
    }

    private void registerTargets(String kind, int count) {
        for (int number = 0; number < count; number++) {
            directory.onChanges(List.of(new FleetRow(kind + "/" + number, 1, Optional.of(Buffer.buffer("entry")))));
        }
    }

    private void removeTargets(String kind, int count) {
        for (int number = 0; number < count; number++) {
            directory.onChanges(List.of(new FleetRow(kind + "/" + number, 1, Optional.empty())));
        }
    }

    private void advanceTime(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    /** Replaces the regular targets by preemptible ones. */
    private void replaceRegular() {
        registerTargets("zone-a/preemptible", 6);
        registerTargets("zone-b/preemptible", 6);
        advanceTime(3_000);
        removeTargets("zone-a/regular", 2);
        removeTargets("zone-b/regular", 2);
        advanceTime(8_000);
        scalingCalls.clear();
    }

    @Test
    void preemptibleTargetsAreRequestedWhileRegularOnesStay() {
        assertEquals(Set.of("zone-a/preemptible/4", "zone-b/preemptible/4"), Set.copyOf(scalingCalls));
    }

    @Test
    void fleetAtItsSizeIsNotScaled() {
        replaceRegular();
        advanceTime(60_000);
        assertEquals(List.of(), scalingCalls);
    }

    @Test
    void pendingRegularTargetsAreNeitherCancelledNorRequestedTwice() {
        replaceRegular();
        zonesWithoutPreemptible.add("zone-b");
        removeTargets("zone-b/preemptible", 6);
        advanceTime(3_000);
        zonesWithoutPreemptible.clear();
        advanceTime(2_500);
        assertEquals(
                List.of("zone-b/regular/2"),
                scalingCalls.stream().filter(call -> call.contains("regular")).toList());
    }
}
