package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.ResponseOutcome;
import io.fireflywalk.core.ingress.ServerLoad;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against instances that each see a seventy-ninth of the load and so know a target's load only from seconds ago,
 * and against messages whose number grows with the requests or whose size exceeds a datagram.
 */
class LoadReportExchangeTest {
    private static final int INSTANCES = 79;
    private static final ServerLoad LOAD = new ServerLoad(7, 2, 12, 160);

    private final TestScheduler scheduler = new TestScheduler();
    private final SchedulerTimerService timers = new SchedulerTimerService(scheduler);
    private final Random random = new Random(3);
    private final List<Instance> instances = new ArrayList<>();
    private int messages;
    private int messagesBetweenZones;
    private int longest;

    /** An instance whose messages arrive at once. */
    private final class Instance implements PeerMessenger {
        private final Peer peer;
        private final LoadReportExchange exchange;
        private final Map<String, Long> known = new HashMap<>();
        private final List<ServerLoad> received = new ArrayList<>();
        private Handler handler = message -> {};

        private Instance(int index) {
            peer = new Peer("instance-" + index, "zone-" + index % 3, "10.0.0." + index, index);
            exchange = new LoadReportExchange(
                    this,
                    () -> instances.stream()
                            .filter(other -> other != this)
                            .map(other -> other.peer)
                            .toList(),
                    peer.availabilityZone(),
                    timers,
                    random,
                    new IngressMetrics(new MetricRegistry()));
            exchange.start((target, load, outcome, at) -> {
                received.add(load);
                boolean news = at > known.getOrDefault(target, Long.MIN_VALUE);
                known.merge(target, at, Math::max);
                return news;
            });
        }

        @Override
        public void onMessage(String type, Handler newHandler) {
            handler = newHandler;
        }

        @Override
        public void send(ObjectNode message, Collection<Peer> receivers) {
            longest = Math.max(longest, message.toString().length());
            for (Peer receiver : receivers) {
                messages++;
                messagesBetweenZones += receiver.availabilityZone().equals(peer.availabilityZone()) ? 0 : 1;
                instances.get(receiver.port()).receive(message.toString());
            }
        }

        private void receive(String message) {
            try {
                handler.onMessage(Codec.json().read(message, ObjectNode.class, "message"));
            } catch (FireflywalkException exception) {
                throw new AssertionError(exception);
            }
        }
    }

    private void startFleet() {
        for (int index = 0; index < INSTANCES; index++) {
            instances.add(new Instance(index));
        }
    }

    private void advance(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    @Test
    void reportReachesMostInstancesWithinHalfASecond() {
        startFleet();
        instances.get(0).exchange.add("target", LOAD, ResponseOutcome.ANSWERED, 0);
        advance(500);
        long informed = instances.stream()
                .filter(instance -> instance.known.containsKey("target"))
                .count();
        assertTrue(informed > INSTANCES * 0.8, () -> informed + " instances");
        assertEquals(
                LOAD,
                instances.get(1).received.isEmpty()
                        ? LOAD
                        : instances.get(1).received.get(0));
    }

    /** 310 requests per second over 46 targets. */
    @Test
    void messagesAreBoundedWhateverTheRequests() {
        startFleet();
        for (int time = 0; time < 1000; time += 10) {
            for (int request = 0; request < 3; request++) {
                Instance instance = instances.get(random.nextInt(INSTANCES));
                long now = timers.monotonicNanoseconds();
                instance.exchange.add("i-4a700167af-" + random.nextInt(46), LOAD, ResponseOutcome.ANSWERED, now);
            }
            advance(10);
        }
        assertTrue(longest <= PeerMessenger.MAXIMUM_BYTES, () -> longest + " bytes");
        assertTrue(messages <= INSTANCES * 10 * 4, () -> messages + " messages");
        assertTrue(messagesBetweenZones < messages / 4, () -> messagesBetweenZones + " between zones");
    }

    @Test
    void oldReportsAreNotPassedOn() {
        startFleet();
        advance(1000);
        instances.get(0).exchange.add("target", LOAD, ResponseOutcome.ANSWERED, 0);
        advance(200);
        assertEquals(0, messages);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{\"reports\":7}",
                "{\"reports\":[7]}",
                "{\"reports\":[[\"target\",1,0,12,100,0]]}",
                "{\"reports\":[[1,1,0,12,100,0,5]]}",
                "{\"reports\":[[\"target\",-1,0,12,100,0,5]]}",
                "{\"reports\":[[\"target\",1,0,12,100,3,5]]}",
                "{\"reports\":[[\"target\",1,0,12,100,0,99999]]}",
                "{\"reports\":[[\"target\",1,0,12,100,0,\"5\"]]}"
            })
    void reportsOutOfRangeAreIgnored(String message) {
        startFleet();
        instances.get(0).receive(message);
        assertTrue(instances.get(0).received.isEmpty());
    }
}
