package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.TargetCrash;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.daemon.ingress.FleetStore.RowTransaction;
import io.fireflywalk.daemon.ingress.FleetStore.Table;
import io.fireflywalk.daemon.ingress.PromptQuarantine.Admission;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against instances that send requests with a part under which targets have ended, because they saw none of these
 * ends themselves, and against sound parts refused on the word of one instance.
 */
class PromptQuarantineTest {
    private static final List<String> DEADLY = List.of("first", "deadly");

    private final TestScheduler scheduler = new TestScheduler();
    private final InMemoryFleetStore store = new InMemoryFleetStore(scheduler);
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private final Random random = new Random(1);
    private double lossFraction;
    private int crashes;

    /** An instance whose messages arrive at once or are lost. */
    private final class Instance implements PeerMessenger {
        private final Map<String, Handler> handlers = new HashMap<>();
        private final FleetCoordinator coordinator;
        private final PromptQuarantine quarantine;

        private Instance(String name) {
            SchedulerTimerService timers = new SchedulerTimerService(scheduler);
            IngressSettings settings = new IngressSettings(
                    new IngressSettings.Instance(name, "zone-" + name.hashCode() % 3, "10.0.0.1"),
                    new IngressSettings.Listen("10.0.0.1:1", "10.0.0.1:2", 3, 4),
                    "10.0.0.2:1",
                    "",
                    new IngressSettings.Bounds(8, 0.2, 58, 10, 3000, 5, 2000, 2000));
            TargetDirectory directory =
                    new TargetDirectory(new FixedRowDecoder(), timers, () -> Duration.ofMinutes(1), service -> 300_000);
            directory.onSnapshot(IntStream.range(0, 60)
                    .mapToObj(target -> new FleetRow("target-" + target, 1, Optional.of(Buffer.buffer("entry"))))
                    .toList());
            coordinator = new FleetCoordinator(settings, store, timers, new Random(name.hashCode()));
            quarantine = new PromptQuarantine(
                    settings,
                    new FleetBroadcaster(this, settings, coordinator, new Random(name.hashCode())),
                    directory,
                    coordinator,
                    store,
                    timers,
                    new Random(name.hashCode()),
                    new IngressMetrics(new MetricRegistry()));
            coordinator.start();
            quarantine.start();
        }

        @Override
        public void onMessage(String type, Handler handler) {
            handlers.put(type, handler);
        }

        @Override
        public void send(ObjectNode message, Collection<Peer> peers) {
            assertTrue(message.toString().length() <= MAXIMUM_BYTES, "message exceeds a datagram");
            for (Peer peer : peers) {
                if (instances.containsKey(peer.name()) && random.nextDouble() >= lossFraction) {
                    instances.get(peer.name()).receive(message.toString());
                }
            }
        }

        /** Receives a message; one with invalid content is dropped, as by the socket. */
        private boolean receive(String message) {
            try {
                ObjectNode decoded = Codec.json().read(message, ObjectNode.class, "message");
                handlers.get(decoded.path(TYPE_FIELD).asText()).onMessage(decoded);
                return true;
            } catch (FireflywalkException exception) {
                return false;
            }
        }

        private boolean refuses(List<String> parts) {
            Admission admission = quarantine.admit(parts);
            return admission.refused().isPresent();
        }
    }

    private void start(int count) {
        for (int index = 0; index < count; index++) {
            instances.put("instance-" + index, new Instance("instance-" + index));
        }
        advance(Duration.ofSeconds(5));
    }

    private void advance(Duration time) {
        scheduler.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    }

    private Instance instance(int index) {
        return instances.get("instance-" + index);
    }

    /** Ends a target under a prompt of an instance, half a second after the one before. */
    private void crashAt(int index, List<String> parts) {
        advance(Duration.ofMillis(500));
        crashes++;
        instance(index).quarantine.onCrash(new TargetCrash("target-" + crashes, 0, List.of(parts)));
    }

    private long refusing(List<String> parts) {
        return instances.values().stream()
                .filter(instance -> instance.refuses(parts))
                .count();
    }

    @ParameterizedTest
    @CsvSource({"1, 0", "9, 0", "9, 0.5", "9, 1", "40, 0", "40, 0.5"})
    void allInstancesRefuseThePartAfterThreeMoreSeconds(int count, double loss) {
        start(count);
        lossFraction = loss;
        // With all datagrams lost, only what one instance sees itself can lead to a row in the store.
        for (int crash = 0; crash < 5; crash++) {
            crashAt(loss == 1 ? 0 : crash % count, DEADLY);
        }
        advance(Duration.ofSeconds(3));
        assertEquals(count, refusing(DEADLY));
        assertEquals(0, refusing(List.of("first", "other")));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void instanceThatStartsLaterOrWasCutOffKnowsThePart(boolean restarted) {
        start(3);
        if (!restarted) {
            lossFraction = 1;
        }
        for (int crash = 0; crash < 3; crash++) {
            crashAt(0, DEADLY);
        }
        instances.put("instance-9", new Instance("instance-9"));
        advance(Duration.ofSeconds(3));
        assertEquals(4, refusing(DEADLY));
    }

    @Test
    void partIsRefusedDuringAStoreOutageAndStoredAfterIt() {
        start(3);
        store.unavailable = true;
        for (int crash = 0; crash < 3; crash++) {
            crashAt(crash, DEADLY);
        }
        assertEquals(3, refusing(DEADLY));
        store.unavailable = false;
        advance(Duration.ofSeconds(4));
        assertEquals(3, refusing(DEADLY));
        instances.put("instance-9", new Instance("instance-9"));
        advance(Duration.ofSeconds(3));
        assertTrue(instance(9).refuses(DEADLY));
    }

    /** Guards against a part that is released, and ends targets again, because the store has lost its row. */
    @ParameterizedTest
    @ValueSource(ints = {2, 20, 40})
    void partStaysRefusedWhenTheStoreReturnsWithoutItsRow(int secondsUntilRequest) {
        store.setEra(1);
        start(3);
        long copy = store.version();
        for (int crash = 0; crash < 3; crash++) {
            crashAt(crash, DEADLY);
        }
        advance(Duration.ofSeconds(1));
        store.comeBackFrom(copy);
        advance(Duration.ofSeconds(secondsUntilRequest));
        for (int request = 0; request < 4; request++) {
            assertEquals(3, refusing(DEADLY));
            advance(Duration.ofSeconds(4));
        }
        instances.put("instance-9", new Instance("instance-9"));
        advance(Duration.ofSeconds(3));
        assertTrue(instance(9).refuses(DEADLY));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oneRequestOfTheFleetTestsThePartAndDecides(boolean stillDeadly) {
        start(9);
        for (int crash = 0; crash < 3; crash++) {
            crashAt(crash, DEADLY);
        }
        List<Integer> probes = new ArrayList<>();
        for (int step = 0; step < 120; step++) {
            advance(Duration.ofMillis(500));
            for (int index = 0; index < 9 && (stillDeadly || probes.isEmpty()); index++) {
                Admission admission = instance(index).quarantine.admit(DEADLY);
                if (admission.probe()) {
                    probes.add(step);
                    if (stillDeadly) {
                        crashAt(index, DEADLY);
                    } else {
                        instance(index).quarantine.recordAnswer(DEADLY);
                    }
                }
            }
        }
        // A minute holds the first probe after 30 s; the next one follows a minute later.
        assertEquals(1, probes.size());
        assertTrue(probes.get(0) >= 60, "probe after " + probes.get(0) + " half seconds");
        advance(Duration.ofSeconds(3));
        assertEquals(stillDeadly ? 9 : 0, refusing(DEADLY));
        instances.put("instance-9", new Instance("instance-9"));
        advance(Duration.ofSeconds(3));
        assertEquals(stillDeadly, instance(9).refuses(DEADLY));
    }

    @Test
    void answerReleasesAPartThatWasRefusedByMistake() {
        start(9);
        for (int crash = 0; crash < 3; crash++) {
            crashAt(crash, List.of("sound"));
        }
        assertEquals(9, refusing(List.of("sound")));
        instance(4).quarantine.recordAnswer(List.of("sound"));
        advance(Duration.ofSeconds(3));
        assertEquals(0, refusing(List.of("sound")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{'type':'crash'}",
                "{'type':'crash','sender':'instance-1','target':'target-1','startedAt':1e300,'prompts':[['sound']]}",
                "{'type':'crash','sender':'instance-1','target':'target-1','startedAt':1,'prompts':'sound'}",
                "{'type':'crash','sender':'instance-1','target':'target-1','startedAt':1,'prompts':[[1,2]]}",
                "{'type':'crash','sender':'instance-1','target':'target-1','startedAt':1,'prompts':[['a b']]}",
                "{'type':'crash','sender':['x'],'target':'target-1','startedAt':1,'prompts':[['sound']]}",
                "{'type':'answered','sender':'instance-1'}",
                "{'type':'answered','sender':'instance-1','parts':[[['sound']]]}"
            })
    void malformedMessagesAreDropped(String message) {
        start(3);
        assertFalse(instance(0).receive(message.replace('\'', '"')));
        assertFalse(instance(0).refuses(List.of("sound")));
    }

    /** Reports from one instance, from names that are no instances, and of targets that nobody knows. */
    @ParameterizedTest
    @CsvSource({"instance-1, target-", "stranger-%d, target-", "instance-1, unknown-"})
    void floodOfFalseReportsRefusesNothing(String sender, String target) {
        start(3);
        for (int report = 0; report < 50; report++) {
            advance(Duration.ofMillis(300));
            instance(0)
                    .receive(String.format(
                            "{\"type\":\"crash\",\"sender\":\"%s\",\"target\":\"%s%d\",\"startedAt\":0,"
                                    + "\"prompts\":[[\"sound\"]]}",
                            String.format(sender, report), target, report));
        }
        assertFalse(instance(0).refuses(List.of("sound")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "[]", "{\"probes\":1e99,\"parts\":[]}", "{\"probes\":1,\"parts\":[[]]}", "{\"probes\":0}"})
    void malformedRowsRefuseNothing(String value) {
        start(2);
        var unused = store.commit(RowTransaction.empty()
                        .withWrite(Table.COORDINATION, PromptQuarantine.ROW_PREFIX + "sound", Buffer.buffer(value)))
                .subscribe();
        advance(Duration.ofSeconds(3));
        assertEquals(0, refusing(List.of("sound")));
        assertEquals(2, instance(0).coordinator.instanceCount());
    }

    @Test
    void refusedRequestsDoNotEachCallAStoreThatIsUnavailable() {
        start(3);
        store.unavailable = true;
        for (int crash = 0; crash < 3; crash++) {
            crashAt(0, DEADLY);
            crashAt(1, DEADLY);
        }
        advance(Duration.ofSeconds(10));
        int calls = store.reads;
        for (int request = 0; request < 100; request++) {
            assertTrue(instance(2).refuses(DEADLY));
        }
        assertTrue(store.reads <= calls + 1, (store.reads - calls) + " calls for 100 requests");
    }

    /** The quotation mark takes two bytes in JSON. */
    @ParameterizedTest
    @ValueSource(strings = {"a", "\""})
    void partsOfManyLongPromptsFitIntoDatagrams(String character) {
        start(2);
        List<List<String>> prompts = new ArrayList<>();
        for (int prompt = 0; prompt < 16; prompt++) {
            prompts.add(List.of(
                    character.repeat(64), "b" + prompt, character.repeat(60) + prompt, character.repeat(63) + "d"));
        }
        for (int crash = 0; crash < 3; crash++) {
            advance(Duration.ofMillis(500));
            instance(crash % 2).quarantine.onCrash(new TargetCrash("target-" + crash, 0, prompts));
        }
        assertTrue(instance(0).refuses(prompts.get(15)));
        assertTrue(instance(1).refuses(prompts.get(15)));
        // One prompt may consist of all these parts, more than one message holds.
        instance(0)
                .quarantine
                .recordAnswer(prompts.stream().flatMap(List::stream).distinct().toList());
        for (List<String> prompt : prompts) {
            assertFalse(instance(1).refuses(prompt), prompt.toString());
        }
    }

    @Test
    void manyShortPromptsReachOtherInstances() {
        start(2);
        List<List<String>> prompts = IntStream.range(0, 200)
                .mapToObj(prompt -> List.of(Integer.toString(prompt)))
                .toList();
        for (int crash = 0; crash < 3; crash++) {
            advance(Duration.ofMillis(500));
            instance(crash % 2).quarantine.onCrash(new TargetCrash("target-" + crash, 0, prompts));
        }
        for (List<String> prompt : prompts) {
            assertEquals(2, refusing(prompt), prompt.toString());
        }
    }
}
