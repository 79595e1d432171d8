package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.ingress.ControlPlane.LeaseHolder;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.daemon.ingress.FleetStore.Table;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a fencing token that two processes use, two holders at a time, a duty without a holder, and a window
 * that is reported with two different totals after the store has returned from an older copy.
 */
class StoreReturnTest {
    /** Number of seeds; more for a run by hand. */
    private static final long SEEDS = Long.getLong("storeReturn.seeds", 12);

    private static final long WINDOW_MILLISECONDS = 5000;
    /** Window in which the instances start. */
    private static final long FIRST_WINDOW = 1000;

    /** A term of 3 s, its margins, the poll of the table and the query of the new holder. */
    private static final long LONGEST_VACANCY_MILLISECONDS = 8000;

    private final TestScheduler scheduler = new TestScheduler();
    private final TimerService timers = new SchedulerTimerService(scheduler);
    private final InMemoryFleetStore store = new InMemoryFleetStore(scheduler);
    private final Map<String, Incarnation> running = new TreeMap<>();
    private final Map<Long, Incarnation> runByToken = new HashMap<>();
    /** Recorded here, because the callers of the platform would take an error for a failed call. */
    private final List<String> violations = new ArrayList<>();

    private final Map<Long, Set<Map<String, Long>>> accepted = new TreeMap<>();
    private final Map<Long, Map<String, Long>> counted = new TreeMap<>();
    private long highestToken;
    private double messageLoss;
    private Random network = new Random(1);

    /** A run of an instance; its messages arrive at once unless they are lost. */
    private final class Incarnation implements PeerMessenger, ControlPlane {
        final String name;
        final UsageCounter counter = new UsageCounter(timers, WINDOW_MILLISECONDS);
        final FleetCoordinator coordinator;
        final IngressUsageReporter reporter;
        private final Map<String, Handler> handlers = new HashMap<>();

        Incarnation(String name, long seed) {
            this.name = name;
            FleetStore client = store.newClient();
            IngressSettings settings = FleetCoordinatorTest.settings(name);
            Random random = new Random(seed);
            coordinator = new FleetCoordinator(settings, client, timers, random);
            FleetBroadcaster broadcaster = new FleetBroadcaster(this, settings, coordinator, random);
            UsageExchange exchange = new UsageExchange(settings, client, coordinator, broadcaster, this, timers);
            reporter = new IngressUsageReporter(settings, client, this, counter, coordinator, exchange, timers);
            coordinator.start();
            reporter.start();
        }

        @Override
        public void onMessage(String type, Handler handler) {
            handlers.put(type, handler);
        }

        @Override
        public void send(ObjectNode message, Collection<Peer> peers) {
            assertTrue(message.toString().length() <= MAXIMUM_BYTES, "message exceeds a datagram");
            for (Peer peer : peers) {
                Incarnation receiver = running.get(peer.name());
                if (receiver != null && running.get(name) == this && network.nextDouble() >= messageLoss) {
                    receiver.receive(message.toString());
                }
            }
        }

        private void receive(String text) {
            try {
                JsonNode message = Codec.json().read(text, JsonNode.class, "test");
                handlers.get(message.path(TYPE_FIELD).asText()).onMessage(message);
            } catch (FireflywalkException exception) {
                throw new AssertionError(exception);
            }
        }

        @Override
        public Single<Boolean> reportUsage(LeaseHolder holder, long window, Map<String, Long> requestsByAccount) {
            if (runByToken.computeIfAbsent(holder.fencingToken(), token -> this) != this) {
                violations.add("token " + holder.fencingToken() + " of two runs");
            }
            if (holder.fencingToken() < highestToken) {
                return Single.just(false);
            }
            highestToken = holder.fencingToken();
            Set<Map<String, Long>> totals = accepted.computeIfAbsent(window, key -> new HashSet<>());
            totals.add(Map.copyOf(requestsByAccount));
            if (totals.size() > 1) {
                violations.add("window " + window + " with two totals: " + totals);
            }
            return Single.just(true);
        }

        @Override
        public Single<Boolean> setTargetCount(
                LeaseHolder holder, String service, String availabilityZone, boolean preemptible, int count) {
            return Single.just(true);
        }

        /** Ends without a trace, as by a kill. */
        void kill() {
            running.remove(name, this);
            coordinator.stop();
            var unused = reporter.stop();
        }
    }

    static Stream<Long> seeds() {
        return LongStream.rangeClosed(1, SEEDS).boxed();
    }

    private Incarnation start(String name, long seed) {
        Incarnation process = new Incarnation(name, seed);
        running.put(name, process);
        return process;
    }

    private void start(int count) {
        store.setEra(1);
        scheduler.advanceTimeBy(FIRST_WINDOW * WINDOW_MILLISECONDS, TimeUnit.MILLISECONDS);
        for (int index = 0; index < count; index++) {
            start("instance-" + index, index);
        }
    }

    /** Advances the time in steps of 100 ms with requests at all instances, and checks that there is one holder. */
    private void advance(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += 100) {
            scheduler.advanceTimeBy(100, TimeUnit.MILLISECONDS);
            assertEquals(List.of(), violations);
            assertTrue(holders().size() <= 1, "two holders");
            for (Incarnation process : running.values()) {
                process.counter.requestStarted("account");
                counted.computeIfAbsent(process.counter.currentWindow(), window -> new HashMap<>())
                        .merge("account", 1L, Long::sum);
            }
        }
    }

    private List<Incarnation> holders() {
        return running.values().stream()
                .filter(process -> process.coordinator.fencingToken().isPresent())
                .toList();
    }

    private Incarnation holder() {
        return holders().get(0);
    }

    private void returnFrom(long copy, long awayMilliseconds) {
        store.unavailable = true;
        advance(awayMilliseconds);
        store.comeBackFrom(copy);
    }

    /** What happens to the holder that has reported within the lost seconds. */
    enum Holder {
        KEPT,
        KILLED,
        RESTARTED
    }

    @ParameterizedTest
    @CsvSource({"KEPT, 0", "KEPT, 1000", "KEPT, 6000", "KILLED, 0", "KILLED, 1000", "RESTARTED, 1000", "RESTARTED, 6000"
    })
    void windowReportedInTheLostSecondsKeepsItsTotals(Holder fate, long away) {
        start(3);
        advance(20_000);
        Incarnation first = holder();
        // The copy is taken before a planned restart of the holder, and shows its lease and no counts of the last
        // window.
        advance(WINDOW_MILLISECONDS - scheduler.now(TimeUnit.MILLISECONDS) % WINDOW_MILLISECONDS + 100);
        long copy = store.version();
        first.coordinator.resign();
        advance(1000);
        first.kill();
        start(first.name, 7);
        advance(5500);
        Incarnation second = holder();
        assertFalse(second == first);
        long reportedWindow = second.counter.currentWindow() - 2;
        assertTrue(accepted.containsKey(reportedWindow), accepted.keySet().toString());
        if (fate != Holder.KEPT) {
            second.kill();
        }
        if (fate == Holder.RESTARTED) {
            start(second.name, 8);
        }
        returnFrom(copy, away);
        advance(30_000);
        assertEquals(1, holders().size());
        long newest = holder().counter.currentWindow();
        for (long window = reportedWindow; window < newest - 3; window++) {
            assertTrue(accepted.containsKey(window), "window " + window + " was not reported");
        }
    }

    @Test
    void countsThatTheStoreLosesAreReported() {
        start(4);
        advance(21_000);
        // The holder reports a window 3.5 s after its end, so that the counts of window 4 are lost before it is
        // reported.
        long copy = store.version();
        advance(6_000);
        returnFrom(copy, 500);
        advance(20_000);
        for (long window = FIRST_WINDOW + 1; window <= FIRST_WINDOW + 7; window++) {
            assertEquals(Set.of(counted.get(window)), accepted.get(window), "window " + window);
        }
    }

    @Test
    void countsOfAnInstanceThatHasEndedAreStoredAgain() {
        start(4);
        advance(24_500);
        long copy = store.version();
        // The counts of the window that ends at 25 s are stored, and the instance ends before the window is reported.
        advance(1_600);
        Incarnation ended = running.values().stream()
                .filter(process -> process != holder())
                .findFirst()
                .orElseThrow();
        ended.kill();
        returnFrom(copy, 200);
        advance(15_000);
        assertEquals(Set.of(counted.get(FIRST_WINDOW + 4)), accepted.get(FIRST_WINDOW + 4));
    }

    @Test
    void windowThatNobodyRemembersIsNotReportedAgain() {
        start(3);
        advance(20_100);
        long copy = store.version();
        advance(6_000);
        assertTrue(accepted.containsKey(FIRST_WINDOW + 3));
        List.copyOf(running.values()).forEach(Incarnation::kill);
        returnFrom(copy, 500);
        start("instance-0", 10);
        start("instance-1", 11);
        advance(20_000);
        // A window is due ten seconds after its end; the member that has ended delays it by up to seven.
        assertTrue(accepted.containsKey(holder().counter.currentWindow() - 3), "nobody reports");
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 500, 1000})
    void validHolderContinuesWithAHigherTokenAtOnce(long away) {
        start(3);
        advance(12_000);
        Incarnation before = holder();
        long token = before.coordinator.fencingToken().orElseThrow();
        long copy = store.version();
        advance(1500);
        returnFrom(copy, away);
        advance(2600);
        assertEquals(List.of(before), holders());
        assertTrue(holder().coordinator.fencingToken().orElseThrow() > token);
    }

    @Test
    void versionsThatPassTheKnownOnesBeforeAnybodyLooksAreNotTakenForThem() {
        start(3);
        advance(12_000);
        long copy = store.version();
        advance(4000);
        long known = store.version();
        store.comeBackFrom(copy);
        while (store.version() <= known + 50) {
            store.commit(FleetStore.RowTransaction.empty()
                            .withWrite(Table.FLEET, "other", io.vertx.core.buffer.Buffer.buffer("{}")))
                    .test()
                    .assertComplete();
        }
        advance(LONGEST_VACANCY_MILLISECONDS);
        assertEquals(1, holders().size());
        running.values()
                .forEach(process -> assertEquals(
                        Optional.of(2L), process.coordinator.watcher().era()));
    }

    @Test
    void storeWithoutErasHasTheTokensOfItsRow() {
        start("instance-0", 1);
        start("instance-1", 2);
        advance(5000);
        assertEquals(Optional.of(1L), holder().coordinator.fencingToken());
        Incarnation first = holder();
        first.coordinator.resign();
        advance(5000);
        assertEquals(Optional.of(2L), holder().coordinator.fencingToken());
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void returnsBesideRestartsOutagesAndLostMessages(long seed) {
        Random random = new Random(seed);
        network = new Random(seed);
        messageLoss = random.nextBoolean() ? 0 : 0.05;
        start(4);
        advance(15_000 + random.nextInt(5000));
        List<Long> copies = new ArrayList<>(List.of(store.version()));
        for (int event = 0; event < 25; event++) {
            switch (random.nextInt(6)) {
                case 0 -> copies.add(store.version());
                case 1, 2 -> returnFrom(copies.get(copies.size() - 1), random.nextInt(3000));
                case 3 -> restart(random, false);
                case 4 -> restart(random, true);
                default -> store.loseResponses = random.nextInt(3) == 0;
            }
            advance(random.nextInt(5000));
            if (random.nextBoolean()) {
                copies.add(store.version());
            }
            copies.removeIf(copy -> copy > store.version());
        }
        store.loseResponses = false;
        advance(LONGEST_VACANCY_MILLISECONDS);
        assertEquals(1, holders().size(), "nobody holds the lease");
        long highest = highestToken;
        advance(15_000);
        assertTrue(highestToken >= highest);
        assertTrue(accepted.containsKey(holder().counter.currentWindow() - 2), "nobody reports");
    }

    private void restart(Random random, boolean graceful) {
        List<Incarnation> processes = new ArrayList<>(running.values());
        Incarnation process = random.nextBoolean() && !holders().isEmpty()
                ? holder()
                : processes.get(random.nextInt(processes.size()));
        if (graceful) {
            process.coordinator.resign();
            advance(1000 + random.nextInt(3000));
        }
        process.kill();
        advance(random.nextInt(1500));
        start(process.name, random.nextLong());
    }
}
