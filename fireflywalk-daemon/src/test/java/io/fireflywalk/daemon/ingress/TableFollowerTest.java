package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.daemon.ingress.FleetStore.RowTransaction;
import io.fireflywalk.daemon.ingress.FleetStore.Table;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against changes that are missed while the store is away or has dropped its history. */
class TableFollowerTest {
    private final TestScheduler scheduler = new TestScheduler();
    private final MemoryStore store = new MemoryStore(scheduler);
    private final List<String> seen = new ArrayList<>();
    private final TableFollower follower = new TableFollower(
            store,
            Table.TARGETS,
            new SchedulerTimerService(scheduler),
            new Random(1),
            Duration.ofMillis(100),
            Duration.ZERO,
            new TableFollower.Listener() {
                @Override
                public void replaced(List<FleetRow> rows) {
                    seen.add("all " + rows.stream().map(FleetRow::key).toList());
                }

                @Override
                public void changed(List<FleetRow> rows) {
                    seen.add("changed " + rows.stream().map(FleetRow::key).toList());
                }
            });

    private void put(String key) {
        store.commit(RowTransaction.empty().writing(Table.TARGETS, key, Buffer.buffer("value")))
                .test()
                .assertComplete();
    }

    private void pass(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    @Test
    void readsAllRowsAndThenChanges() {
        put("a");
        follower.start();
        put("b");
        pass(150);
        assertEquals(List.of("all [a]", "changed [b]"), seen);
    }

    @Test
    void readsAllRowsAgainWhenTheHistoryIsGone() {
        put("a");
        follower.start();
        put("b");
        store.dropHistory();
        pass(150);
        assertEquals(List.of("all [a]", "all [a, b]"), seen);
    }

    @Test
    void goesOnWithinASecondAfterAnOutage() {
        follower.start();
        store.down = true;
        pass(5000);
        assertTrue(follower.silence().compareTo(Duration.ofSeconds(4)) > 0);
        assertEquals(Duration.ZERO, follower.sinceRecovery());
        store.down = false;
        put("a");
        pass(1000);
        assertEquals(List.of("all []", "changed [a]"), seen);
        assertTrue(follower.sinceRecovery().compareTo(Duration.ofSeconds(1)) <= 0);
    }

    @Test
    void readsMoreRowsThanFitIntoOneAnswer() {
        for (int index = 0; index < 1200; index++) {
            put(String.format("row-%04d", index));
        }
        follower.start();
        assertEquals(1, seen.size());
        assertTrue(seen.get(0).endsWith("row-1199]"));
    }

    @Test
    void aSilentConnectionDelaysAChangeByLessThanASecond() {
        follower.start();
        pass(150);
        store.silentConnections = true;
        put("a");
        pass(900);
        assertEquals(List.of("all []", "changed [a]"), seen);
    }

    @Test
    void aCallThatFailsIsNoOutage() {
        follower.start();
        pass(5000);
        store.down = true;
        pass(300);
        store.down = false;
        pass(300);
        assertTrue(follower.sinceRecovery().compareTo(Duration.ofSeconds(5)) > 0);
    }
}
