package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against two lease holders at a time, reused fencing tokens, and a lease that nobody takes over. */
class FleetCoordinatorTest {
    private final TestScheduler scheduler = new TestScheduler();
    private final InMemoryFleetStore store = new InMemoryFleetStore(scheduler);

    static IngressSettings settings(String name) {
        return new IngressSettings(
                new IngressSettings.Instance(name, "zone-a", "10.0.0.1"),
                new IngressSettings.Listen("10.0.0.1:1", "10.0.0.1:2", 3, 4),
                "10.0.0.2:1",
                "10.0.0.3:1",
                new IngressSettings.Bounds(8, 0.2, 58, 10, 3000, 5, 2000, 2000));
    }

    private FleetCoordinator start(String name, long seed) {
        FleetCoordinator coordinator =
                new FleetCoordinator(settings(name), store, new SchedulerTimerService(scheduler), new Random(seed));
        coordinator.start();
        return coordinator;
    }

    private void advanceTime(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void oneInstanceHoldsTheLeaseAndAnotherTakesOverWithinSeconds(long seed) {
        List<FleetCoordinator> all = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            all.add(start("instance-" + index, seed * 10 + index));
        }
        advanceTime(5000);
        assertEquals(1, holders(all).size());
        assertEquals(5, all.get(0).instanceCount());
        FleetCoordinator first = holders(all).get(0);
        long token = first.fencingToken().orElseThrow();
        first.stop();
        all.remove(first);
        advanceTime(8000);
        assertEquals(1, holders(all).size());
        assertTrue(holders(all).get(0).fencingToken().orElseThrow() > token);
    }

    private static List<FleetCoordinator> holders(List<FleetCoordinator> all) {
        return all.stream().filter(each -> each.fencingToken().isPresent()).toList();
    }

    @Test
    void holderGivesUpTheLeaseBeforeAnotherMayTakeItDuringAStoreOutage() {
        FleetCoordinator holder = start("instance-0", 1);
        FleetCoordinator other = start("instance-1", 2);
        advanceTime(5000);
        FleetCoordinator first = holder.fencingToken().isPresent() ? holder : other;
        FleetCoordinator second = first == holder ? other : holder;
        store.unavailable = true;
        for (int step = 0; step < 100; step++) {
            advanceTime(100);
            assertFalse(
                    first.fencingToken().isPresent() && second.fencingToken().isPresent());
        }
        assertEquals(Optional.empty(), first.fencingToken());
        store.unavailable = false;
        advanceTime(8000);
        assertEquals(1, holders(List.of(first, second)).size());
    }

    @Test
    void lostResponsesNeverGiveOneTokenToTwoHolders() {
        List<FleetCoordinator> all = List.of(start("instance-0", 1), start("instance-1", 2), start("instance-2", 3));
        Random random = new Random(4);
        Map<Long, Integer> holderOfToken = new HashMap<>();
        for (int step = 0; step < 600; step++) {
            store.loseResponses = random.nextInt(3) == 0;
            advanceTime(100);
            for (int index = 0; index < all.size(); index++) {
                Optional<Long> token = all.get(index).fencingToken();
                if (token.isPresent()) {
                    assertEquals(
                            index,
                            holderOfToken.computeIfAbsent(token.get(), ignored -> -1) < 0
                                    ? putHolder(holderOfToken, token.get(), index)
                                    : holderOfToken.get(token.get()));
                }
            }
            assertTrue(holders(all).size() <= 1);
        }
        assertFalse(holderOfToken.isEmpty());
    }

    private static int putHolder(Map<Long, Integer> holderOfToken, long token, int index) {
        holderOfToken.put(token, index);
        return index;
    }

    @Test
    void supersededHolderGivesUpTheLease() {
        FleetCoordinator holder = start("instance-0", 1);
        advanceTime(5000);
        assertTrue(holder.fencingToken().isPresent());
        holder.relinquishLease();
        advanceTime(3000);
        assertEquals(Optional.empty(), holder.fencingToken());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void leaseIsHeldSoonAfterAStoreOutageThatOutlastedIt(long seed) {
        List<FleetCoordinator> all = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            all.add(start("instance-" + index, seed * 10 + index));
        }
        advanceTime(5000 + seed * 170);
        FleetCoordinator holder = holders(all).get(0);
        long token = holder.fencingToken().orElseThrow();
        store.unavailable = true;
        advanceTime(8000);
        assertEquals(0, holders(all).size());
        store.unavailable = false;
        advanceTime(2000);
        assertEquals(1, holders(all).size());
        assertTrue(holders(all).get(0).fencingToken().orElseThrow() > token);
    }

    @Test
    void takeoverWithALostResponseIsClaimedByItsWriter() {
        FleetCoordinator holder = start("instance-0", 1);
        advanceTime(5000);
        FleetCoordinator other = start("instance-1", 2);
        advanceTime(3000);
        holder.stop();
        store.loseResponses = true;
        advanceTime(6000);
        assertEquals(Optional.empty(), other.fencingToken());
        store.loseResponses = false;
        advanceTime(2000);
        assertTrue(other.fencingToken().isPresent());
    }

    @Test
    void resignedHolderIsReplacedBeforeItsLeaseWouldLapse() {
        List<FleetCoordinator> all = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            all.add(start("instance-" + index, index));
        }
        advanceTime(6000);
        FleetCoordinator holder = holders(all).get(0);
        long token = holder.fencingToken().orElseThrow();
        holder.resign();
        assertEquals(Optional.empty(), holder.fencingToken());
        advanceTime(2700);
        assertEquals(1, holders(all).size());
        assertTrue(holders(all).get(0).fencingToken().orElseThrow() > token);
        for (int step = 0; step < 200; step++) {
            advanceTime(100);
            assertEquals(Optional.empty(), holder.fencingToken());
        }
    }

    /** Guards against a token that two processes use after the store has returned from an older copy (incident 016). */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void returnsFromAnOlderCopyNeverGiveOneTokenToTwoHolders(long seed) {
        Random random = new Random(seed);
        store.setEra(1);
        List<FleetCoordinator> all = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            all.add(startClient("instance-" + index, random.nextLong()));
        }
        Map<Long, FleetCoordinator> holderOfToken = new HashMap<>();
        for (int round = 0; round < 12; round++) {
            observeTokens(all, holderOfToken, 5000 + random.nextInt(4000));
            long copy = store.version();
            observeTokens(all, holderOfToken, random.nextInt(6000));
            int restarted = random.nextInt(all.size());
            all.get(restarted).resign();
            observeTokens(all, holderOfToken, 1000 + random.nextInt(4000));
            all.get(restarted).stop();
            all.set(restarted, startClient("instance-" + restarted, random.nextLong()));
            store.unavailable = true;
            observeTokens(all, holderOfToken, random.nextInt(2000));
            store.comeBackFrom(copy);
        }
        // A term of 3 s, its margins and the interval at which the table is read.
        observeTokens(all, holderOfToken, 8000);
        assertEquals(1, holders(all).size());
    }

    private FleetCoordinator startClient(String name, long seed) {
        FleetCoordinator coordinator = new FleetCoordinator(
                settings(name), store.newClient(), new SchedulerTimerService(scheduler), new Random(seed));
        coordinator.start();
        return coordinator;
    }

    private void observeTokens(
            List<FleetCoordinator> all, Map<Long, FleetCoordinator> holderOfToken, long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += 100) {
            advanceTime(100);
            assertTrue(holders(all).size() <= 1, "two holders");
            for (FleetCoordinator holder : holders(all)) {
                long token = holder.fencingToken().orElseThrow();
                assertEquals(holder, holderOfToken.computeIfAbsent(token, ignored -> holder), "token " + token);
            }
        }
    }
}
