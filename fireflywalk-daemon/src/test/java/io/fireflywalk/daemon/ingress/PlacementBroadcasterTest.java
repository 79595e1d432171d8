package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import io.fireflywalk.core.ingress.PromptSummary;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against instances that do not know which runner holds a shared part because another zone placed it, and against
 * notices that cross the boundaries of zones once for each instance.
 */
class PlacementBroadcasterTest {
    private static final String TARGET = "target-1";
    private static final PromptSummary PROMPT = new PromptSummary(5, "shared", 13_000, "own", 3000);

    private final TestScheduler scheduler = new TestScheduler();
    private final InMemoryFleetStore store = new InMemoryFleetStore(scheduler);
    private final Map<String, Instance> instances = new HashMap<>();
    private int messagesBetweenZones;
    private int messages;

    /** An instance whose messages arrive at once. */
    private final class Instance implements PeerMessenger {
        private final String zone;
        private final TargetDirectory directory;
        private final FleetCoordinator coordinator;
        private final PlacementBroadcaster broadcaster;
        private final TargetCommands commands;
        private final Map<String, Handler> handlers = new HashMap<>();

        private Instance(String name, String zone) {
            this.zone = zone;
            SchedulerTimerService timers = new SchedulerTimerService(scheduler);
            IngressSettings settings = new IngressSettings(
                    new IngressSettings.Instance(name, zone, "10.0.0.1"),
                    new IngressSettings.Listen("10.0.0.1:1", "10.0.0.1:2", 3, 4),
                    "10.0.0.2:1",
                    "",
                    new IngressSettings.Bounds(8, 0.2, 58, 10, 3000, 5, 4000, 4000));
            directory =
                    new TargetDirectory(new FixedRowDecoder(), timers, () -> Duration.ofMinutes(1), service -> 300_000);
            directory.onSnapshot(List.of(new FleetRow(TARGET, 1, Optional.of(Buffer.buffer("entry")))));
            coordinator = new FleetCoordinator(settings, store, timers, new Random(name.hashCode()));
            FleetBroadcaster fleet = new FleetBroadcaster(this, settings, coordinator, new Random(name.hashCode()));
            broadcaster = new PlacementBroadcaster(fleet, timers, directory);
            commands = new StageChangeBroadcaster(fleet, timers, directory)
                    .announcing((holder, target, stage) -> Single.just(true));
        }

        @Override
        public void onMessage(String type, Handler newHandler) {
            handlers.put(type, newHandler);
        }

        @Override
        public void send(ObjectNode message, Collection<Peer> peers) {
            String encoded = message.toString();
            for (Peer peer : peers) {
                messages++;
                messagesBetweenZones += peer.availabilityZone().equals(zone) ? 0 : 1;
                try {
                    instances
                            .get(peer.name())
                            .handlers
                            .get(message.path(TYPE_FIELD).asText())
                            .onMessage(Codec.json().read(encoded, ObjectNode.class, "message"));
                } catch (FireflywalkException exception) {
                    throw new IllegalStateException(exception);
                }
            }
        }

        private TargetState target() {
            return directory.find(TARGET).orElseThrow();
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 6, 300, 5, 0", "3, 2, 300, 5, 4", "3, 8, 300, 23, 2", "6, 16, 300, 95, 5", "6, 16, 20, 0, 0"})
    void noticeReachesEveryInstanceAndCrossesEachBoundaryOnceInALargeFleet(
            int zones, int instancesPerZone, double prefillMilliseconds, int expectedMessages, int expectedCrossings) {
        for (int index = 0; index < zones * instancesPerZone; index++) {
            String name = "instance-" + index;
            instances.put(name, new Instance(name, "zone-" + index % zones));
        }
        instances.values().forEach(instance -> instance.coordinator.start());
        scheduler.advanceTimeBy(5, TimeUnit.SECONDS);
        Instance sender = instances.get("instance-0");
        sender.broadcaster.recordPlacement(
                new Placement(sender.target(), Optional.empty(), prefillMilliseconds, 0, prefillMilliseconds, 1, 1),
                PROMPT);
        assertEquals(expectedMessages, messages);
        assertEquals(expectedCrossings, messagesBetweenZones);
        if (expectedMessages > 0) {
            for (Instance instance : instances.values()) {
                assertTrue(instance.target().hasOrExpectsPart(PROMPT.sharedPart()));
            }
        }
    }

    @Test
    void noInstanceSendsRequestsToARunnerThatIsOrderedToChangeItsStage() {
        for (int index = 0; index < 3; index++) {
            String name = "instance-" + index;
            instances.put(name, new Instance(name, "zone-1"));
        }
        instances.values().forEach(instance -> instance.coordinator.start());
        scheduler.advanceTimeBy(5, TimeUnit.SECONDS);
        Instance holder = instances.get("instance-0");
        holder.commands
                .changeStage(holder.coordinator.holder(1), holder.target().entry(), Stage.PREFILL)
                .test()
                .assertValue(true);
        long now = scheduler.now(TimeUnit.NANOSECONDS);
        for (Instance instance : instances.values()) {
            assertFalse(instance.target().available(now));
        }
    }
}
