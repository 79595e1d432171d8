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
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against changes that are missed during an outage of the store or after it has dropped its history. */
class TableWatcherTest {
    private final TestScheduler scheduler = new TestScheduler();
    private final InMemoryFleetStore store = new InMemoryFleetStore(scheduler);
    private final List<String> notifications = new ArrayList<>();
    private final TableWatcher watcher = new TableWatcher(
            store,
            Table.TARGETS,
            new SchedulerTimerService(scheduler),
            new Random(1),
            Duration.ofMillis(100),
            Duration.ZERO,
            new TableWatcher.Listener() {
                @Override
                public void onSnapshot(List<FleetRow> rows) {
                    notifications.add("all " + rows.stream().map(FleetRow::key).toList());
                }

                @Override
                public void onChanges(List<FleetRow> rows) {
                    notifications.add(
                            "changed " + rows.stream().map(FleetRow::key).toList());
                }
            });

    private void put(String key) {
        store.commit(RowTransaction.empty().withWrite(Table.TARGETS, key, Buffer.buffer("value")))
                .test()
                .assertComplete();
    }

    private void advanceTime(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    @Test
    void readsAllRowsAndThenChanges() {
        put("a");
        watcher.start();
        put("b");
        advanceTime(150);
        assertEquals(List.of("all [a]", "changed [b]"), notifications);
    }

    @Test
    void readsAllRowsAgainAfterTheHistoryWasDropped() {
        put("a");
        watcher.start();
        put("b");
        store.dropHistory();
        advanceTime(150);
        assertEquals(List.of("all [a]", "all [a, b]"), notifications);
    }

    @Test
    void resumesWithinASecondAfterAnOutage() {
        watcher.start();
        store.unavailable = true;
        advanceTime(5000);
        assertTrue(watcher.timeSinceLastResponse().compareTo(Duration.ofSeconds(4)) > 0);
        assertEquals(Duration.ZERO, watcher.timeSinceRecovery());
        store.unavailable = false;
        put("a");
        advanceTime(1000);
        assertEquals(List.of("all []", "changed [a]"), notifications);
        assertTrue(watcher.timeSinceRecovery().compareTo(Duration.ofSeconds(1)) <= 0);
    }

    @Test
    void readsAllPages() {
        for (int index = 0; index < 1200; index++) {
            put(String.format("row-%04d", index));
        }
        watcher.start();
        assertEquals(1, notifications.size());
        assertTrue(notifications.get(0).endsWith("row-1199]"));
    }

    @Test
    void unresponsiveConnectionDelaysAChangeByLessThanASecond() {
        watcher.start();
        advanceTime(150);
        store.pooledConnectionsUnresponsive = true;
        put("a");
        advanceTime(900);
        assertEquals(List.of("all []", "changed [a]"), notifications);
    }

    @Test
    void singleFailureDoesNotCountAsAnOutage() {
        watcher.start();
        advanceTime(5000);
        store.unavailable = true;
        advanceTime(300);
        store.unavailable = false;
        advanceTime(300);
        assertTrue(watcher.timeSinceRecovery().compareTo(Duration.ofSeconds(5)) > 0);
    }

    @Test
    void relayedChangesFollowTheLastChangeOfTheTableNotThatOfAnother() {
        put("a");
        List<Long> relayedAfter = new ArrayList<>();
        watcher.useRelay(() -> true, (after, rows) -> relayedAfter.add(after));
        watcher.start();
        store.commit(RowTransaction.empty().withWrite(Table.COORDINATION, "other", Buffer.buffer("value")))
                .test()
                .assertComplete();
        advanceTime(250);
        put("b");
        advanceTime(250);
        assertEquals(List.of(1L), relayedAfter);
    }

    /** Changes of the store up to its present version, as an instance that reads relays them. */
    private TableWatcher.RelayedChanges relayed(long after, long version, String... keys) {
        List<FleetRow> rows = Stream.of(keys)
                .map(key -> new FleetRow(key, version, Optional.of(Buffer.buffer("value"))))
                .toList();
        return new TableWatcher.RelayedChanges(after, version, Duration.ZERO, rows);
    }

    @Test
    void instanceThatTheStoreTurnsAwayMakesNoCallsWhileTheRelayIsComplete() {
        put("a");
        watcher.useRelay(() -> false, (after, rows) -> {});
        watcher.start();
        store.unavailable = true;
        watcher.pollNow();
        advanceTime(500);
        int calls = store.reads;
        for (int notice = 0; notice < 20; notice++) {
            watcher.onRelayed(relayed(1, 1));
            advanceTime(400);
        }
        assertTrue(store.reads <= calls + 1, "calls " + (store.reads - calls));
        assertTrue(watcher.timeSinceLastResponse().compareTo(Duration.ofSeconds(1)) < 0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void severalLostMessagesOfTheRelayCostOneCall(boolean missingPartArrives) {
        put("a");
        watcher.useRelay(() -> false, (after, rows) -> {});
        watcher.start();
        advanceTime(150);
        int calls = store.reads;
        put("b");
        put("c");
        put("d");
        watcher.onRelayed(relayed(2, 3, "c"));
        watcher.onRelayed(relayed(3, 4, "d"));
        if (missingPartArrives) {
            watcher.onRelayed(relayed(1, 4, "b", "c", "d"));
        }
        advanceTime(900);
        assertEquals(calls + (missingPartArrives ? 0 : 1), store.reads);
        assertEquals(List.of("all [a]", "changed [b, c, d]"), notifications);
    }
}
