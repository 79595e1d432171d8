package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.store.StoreEras;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.daemon.ingress.FleetStore.RowTransaction;
import io.fireflywalk.daemon.ingress.FleetStore.Table;
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
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a change that takes effect late or never on some instances because the instance that reads the store
 * for its zone has failed or its messages are lost, and against a number of store calls that grows with the zone.
 */
class StoreRelayTest {
    private static final int INSTANCES = 12;
    /** Time in which a change must take effect where the relay is used. */
    private static final int CHANGE_DEADLINE_MILLISECONDS = 3000;

    private final TestScheduler scheduler = new TestScheduler();
    private final InMemoryFleetStore store = new InMemoryFleetStore(scheduler);
    private final Random random = new Random(7);
    private final Map<String, Instance> instances = new HashMap<>();
    private double lossFraction;

    /** What happens to the instance that reads the store. */
    enum ReaderFault {
        NONE,
        /** It neither calls the store nor sends messages. */
        KILLED,
        /** It reads the store, but its messages are lost. */
        MESSAGES_LOST,
        /** The store rejects its calls. */
        REJECTED_BY_STORE
    }

    /** An instance with its own connection to the store and to its peers. */
    private final class Instance implements PeerMessenger, FleetStore, TableWatcher.Listener {
        private final String name;
        private final Map<String, Handler> handlers = new HashMap<>();
        private final Map<String, String> rows = new HashMap<>();
        private final TableWatcher targets;
        private final FleetCoordinator coordinator;
        private final StoreRelay relay;
        private boolean storeRejects;
        private boolean messagesLost;
        private int reads;

        private Instance(String name) {
            this.name = name;
            SchedulerTimerService timers = new SchedulerTimerService(scheduler);
            IngressSettings settings = settings(name);
            coordinator = new FleetCoordinator(settings, this, timers, new Random(name.hashCode()));
            targets = new TableWatcher(
                    this,
                    Table.TARGETS,
                    timers,
                    new Random(name.hashCode()),
                    Duration.ofMillis(100),
                    Duration.ofSeconds(1),
                    this);
            relay = new StoreRelay(settings, this, coordinator, timers, List.of(targets, coordinator.watcher()));
        }

        private void start() {
            coordinator.start();
            targets.start();
            relay.start();
        }

        @Override
        public StoreEras eras() {
            return store.eras();
        }

        @Override
        public void onMessage(String type, Handler handler) {
            handlers.put(type, handler);
        }

        @Override
        public void send(ObjectNode message, Collection<Peer> peers) {
            assertTrue(message.toString().length() <= MAXIMUM_BYTES, "message exceeds a datagram");
            for (Peer peer : peers) {
                Instance receiver = instances.get(peer.name());
                if (receiver != null && !messagesLost && random.nextDouble() >= lossFraction) {
                    receiver.receive(message.toString());
                }
            }
        }

        private void receive(String message) {
            try {
                ObjectNode decoded = Codec.json().read(message, ObjectNode.class, "message");
                handlers.get(decoded.path(TYPE_FIELD).asText()).onMessage(decoded);
            } catch (FireflywalkException exception) {
                throw new IllegalStateException(exception);
            }
        }

        private <T> Single<T> call(Single<T> call) {
            reads++;
            return storeRejects
                    ? Single.error(new FireflywalkException(ErrorKind.STORE_UNAVAILABLE, "rejected", "memory store"))
                    : call;
        }

        @Override
        public Single<RowPage> read(Table table, String from, String to, int limit, CallOptions options) {
            return Single.defer(() -> call(store.read(table, from, to, limit, options)));
        }

        @Override
        public Single<RowChanges> changes(Table table, long afterVersion, Duration wait, CallOptions options) {
            return Single.defer(() -> call(store.changes(table, afterVersion, wait, options)));
        }

        @Override
        public Single<CommitResult> commit(RowTransaction transaction) {
            return store.commit(transaction);
        }

        @Override
        public void onSnapshot(List<FleetRow> snapshot) {
            rows.clear();
            onChanges(snapshot);
        }

        @Override
        public void onChanges(List<FleetRow> changed) {
            for (FleetRow row : changed) {
                rows.remove(row.key());
                row.value().ifPresent(value -> rows.put(row.key(), value.toString()));
            }
        }
    }

    private static IngressSettings settings(String name) {
        return new IngressSettings(
                new IngressSettings.Instance(name, "zone-a", "10.0.0.1"),
                new IngressSettings.Listen("10.0.0.1:1", "10.0.0.1:2", 3, 4),
                "10.0.0.2:1",
                "",
                new IngressSettings.Bounds(
                        8, 0.2, 58, 10, 3000, 5, CHANGE_DEADLINE_MILLISECONDS, CHANGE_DEADLINE_MILLISECONDS));
    }

    private void startAll() {
        for (int index = 0; index < INSTANCES; index++) {
            Instance instance = new Instance("instance-" + index);
            instances.put(instance.name, instance);
        }
        instances.values().forEach(Instance::start);
        advanceTime(8000);
    }

    private void advanceTime(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    private void put(String key, String value) {
        store.commit(RowTransaction.empty().withWrite(Table.TARGETS, key, Buffer.buffer(value)))
                .test()
                .assertComplete();
    }

    private Instance reader() {
        Map<String, Integer> before = new HashMap<>();
        instances.values().forEach(instance -> before.put(instance.name, instance.reads));
        advanceTime(2000);
        List<Instance> reading = instances.values().stream()
                .filter(instance -> instance.reads > before.get(instance.name))
                .toList();
        assertEquals(1, reading.size());
        return reading.get(0);
    }

    private static void inject(Instance reader, ReaderFault fault) {
        switch (fault) {
            case NONE -> reader.messagesLost = false;
            case KILLED -> {
                reader.targets.stop();
                reader.coordinator.watcher().stop();
                reader.messagesLost = true;
            }
            case MESSAGES_LOST -> reader.messagesLost = true;
            case REJECTED_BY_STORE -> reader.storeRejects = true;
            default -> throw new IllegalStateException("unknown fault " + fault);
        }
    }

    @ParameterizedTest
    @EnumSource(ReaderFault.class)
    void changeTakesEffectOnEveryLiveInstanceInTimeAlthoughTheReaderFails(ReaderFault fault) {
        put("a", "first");
        startAll();
        for (int round = 0; round < 4; round++) {
            Instance reader = reader();
            // The fault comes at different moments of a held call and between two notices.
            advanceTime(random.nextInt(1500));
            inject(reader, fault);
            advanceTime(random.nextInt(300));
            put("a", "round " + round);
            put("b" + round, "x".repeat(900));
            advanceTime(CHANGE_DEADLINE_MILLISECONDS);
            for (Instance instance : instances.values()) {
                if (fault != ReaderFault.KILLED || instance != reader) {
                    assertEquals("round " + round, instance.rows.get("a"), instance.name);
                    assertTrue(instance.rows.containsKey("b" + round), instance.name);
                }
            }
            if (fault == ReaderFault.KILLED) {
                instances.remove(reader.name);
                store.commit(RowTransaction.empty().withRemoval(Table.COORDINATION, "member/" + reader.name))
                        .test()
                        .assertComplete();
            } else {
                reader.messagesLost = false;
                reader.storeRejects = false;
            }
            advanceTime(6000);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.3, 1})
    void lostMessagesDelayNoChangeBeyondItsDeadline(double fraction) {
        startAll();
        lossFraction = fraction;
        for (int change = 0; change < 40; change++) {
            put("target-" + change % 7, "change " + change);
            advanceTime(random.nextInt(200));
        }
        store.commit(RowTransaction.empty().withRemoval(Table.TARGETS, "target-3"))
                .test()
                .assertComplete();
        advanceTime(CHANGE_DEADLINE_MILLISECONDS);
        for (Instance instance : instances.values()) {
            assertEquals(6, instance.rows.size());
            assertEquals("change 39", instance.rows.get("target-4"));
        }
    }

    @Test
    void rowsThatExceedAMessageReachEveryInstance() {
        startAll();
        put("large", "x".repeat(5000));
        put("small", "y");
        advanceTime(200);
        put("large", "z".repeat(6000));
        advanceTime(500);
        for (Instance instance : instances.values()) {
            assertEquals(6000, instance.rows.get("large").length());
            assertEquals("y", instance.rows.get("small"));
        }
    }

    @Test
    void droppedHistoryLeavesNoInstanceBehind() {
        startAll();
        put("a", "first");
        store.dropHistory();
        put("b", "second");
        advanceTime(CHANGE_DEADLINE_MILLISECONDS);
        instances.values().forEach(instance -> assertEquals(Map.of("a", "first", "b", "second"), instance.rows));
    }

    @Test
    void oneInstanceReadsForTheZone() {
        startAll();
        reader();
        int before =
                instances.values().stream().mapToInt(instance -> instance.reads).sum();
        for (int second = 0; second < 20; second++) {
            put("target-" + second, "value");
            advanceTime(1000);
        }
        int after =
                instances.values().stream().mapToInt(instance -> instance.reads).sum();
        // One reader makes at most two calls a second for the targets and one for the members.
        assertTrue((after - before) / 20 <= 3, (after - before) + " calls in 20 seconds");
    }
}
