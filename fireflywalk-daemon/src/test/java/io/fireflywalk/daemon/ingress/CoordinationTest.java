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

/** Guards against two holders of the duties, tokens that are used twice, and duties that nobody takes over. */
class CoordinationTest {
    private final TestScheduler scheduler = new TestScheduler();
    private final MemoryStore store = new MemoryStore(scheduler);

    static IngressSettings settings(String name) {
        return new IngressSettings(
                new IngressSettings.Instance(name, "zone-a", "10.0.0.1"),
                new IngressSettings.Listen("10.0.0.1:1", "10.0.0.1:2", 3, 4),
                "10.0.0.2:1",
                "10.0.0.3:1",
                new IngressSettings.Bounds(8, 0.2, 58, 10, 3000, 5));
    }

    private Coordination start(String name, long seed) {
        Coordination coordination =
                new Coordination(settings(name), store, new SchedulerTimerService(scheduler), new Random(seed));
        coordination.start();
        return coordination;
    }

    private void pass(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void oneOfManyHoldsTheLeaseAndAnotherTakesOverWithinSeconds(long seed) {
        List<Coordination> all = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            all.add(start("instance-" + index, seed * 10 + index));
        }
        pass(5000);
        assertEquals(1, holders(all).size());
        assertEquals(5, all.get(0).instances());
        Coordination first = holders(all).get(0);
        long token = first.token().orElseThrow();
        first.stop();
        all.remove(first);
        pass(8000);
        assertEquals(1, holders(all).size());
        assertTrue(holders(all).get(0).token().orElseThrow() > token);
    }

    private static List<Coordination> holders(List<Coordination> all) {
        return all.stream().filter(each -> each.token().isPresent()).toList();
    }

    @Test
    void theHolderStopsBeforeAnotherMayTakeOverWhileTheStoreIsAway() {
        Coordination holder = start("instance-0", 1);
        Coordination other = start("instance-1", 2);
        pass(5000);
        Coordination first = holder.token().isPresent() ? holder : other;
        Coordination second = first == holder ? other : holder;
        store.down = true;
        for (int step = 0; step < 100; step++) {
            pass(100);
            assertFalse(first.token().isPresent() && second.token().isPresent());
        }
        assertEquals(Optional.empty(), first.token());
        store.down = false;
        pass(8000);
        assertEquals(1, holders(List.of(first, second)).size());
    }

    @Test
    void lostAnswersNeverGiveOneTokenToTwoHolders() {
        List<Coordination> all = List.of(start("instance-0", 1), start("instance-1", 2), start("instance-2", 3));
        Random random = new Random(4);
        Map<Long, Integer> holderOfToken = new HashMap<>();
        for (int step = 0; step < 600; step++) {
            store.loseAnswers = random.nextInt(3) == 0;
            pass(100);
            for (int index = 0; index < all.size(); index++) {
                Optional<Long> token = all.get(index).token();
                if (token.isPresent()) {
                    assertEquals(
                            index,
                            holderOfToken.computeIfAbsent(token.get(), ignored -> -1) < 0
                                    ? put(holderOfToken, token.get(), index)
                                    : holderOfToken.get(token.get()));
                }
            }
            assertTrue(holders(all).size() <= 1);
        }
        assertFalse(holderOfToken.isEmpty());
    }

    private static int put(Map<Long, Integer> holderOfToken, long token, int index) {
        holderOfToken.put(token, index);
        return index;
    }

    @Test
    void aSupersededHolderStaysAwayFromTheDuties() {
        Coordination holder = start("instance-0", 1);
        pass(5000);
        assertTrue(holder.token().isPresent());
        holder.superseded();
        pass(3000);
        assertEquals(Optional.empty(), holder.token());
    }
}
