package io.fireflywalk.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.table.MarkerGarbageCollector;
import io.fireflywalk.services.table.ResolvingTableService;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.TableMetrics;
import io.fireflywalk.services.table.TableRetryPolicy;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionMarker;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against transactions that are lost or applied twice under random faults, and against transaction markers that
 * are removed before the end of their retention or never.
 */
class ResolvingTableServiceProperties {

    @Property(tries = 300)
    void knownOutcomeMatchesStoredRow(@ForAll long seed) {
        TestScheduler scheduler = new TestScheduler();
        SchedulerTimerService timers = new SchedulerTimerService(scheduler);
        InMemoryTableService store = new InMemoryTableService();
        FaultyTableService faulty =
                new FaultyTableService(store, timers, Duration.ofMillis(900)).failRandomly(seed, 0.5);
        ResolvingTableService resolving = new ResolvingTableService(
                faulty,
                timers,
                TableRetryPolicy.forCallDeadline(Duration.ofSeconds(2)),
                () -> 0.5,
                new TableMetrics(timers));
        for (int number = 1; number <= 10; number++) {
            String key = "key-" + number;
            var outcome = resolving
                    .execute(Transaction.builder("id-" + number)
                            .put("table", key, "value")
                            .build())
                    .test();
            scheduler.advanceTimeBy(30, TimeUnit.SECONDS);
            long version =
                    store.read("table", key).blockingGet().map(Row::version).orElse(0L);
            if (outcome.values().isEmpty()) {
                outcome.assertError(cause -> cause instanceof FireflywalkException exception
                        && (exception.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN
                                ? version <= 1
                                : exception.kind() == ErrorKind.STORE_UNAVAILABLE && version == 0));
            } else {
                assertTrue(outcome.values().get(0).committed());
                assertEquals(1, version, "row version after a committed transaction");
            }
        }
    }

    @Example
    void markersAreRemovedAfterRetentionAndTrackedWithinLimit() {
        TestScheduler scheduler = new TestScheduler();
        SchedulerTimerService timers = new SchedulerTimerService(scheduler);
        InMemoryTableService store = new InMemoryTableService();
        MarkerGarbageCollector collector = new MarkerGarbageCollector(store, timers, Duration.ofMinutes(2), 1_000);
        for (int number = 0; number < 1_500; number++) {
            var unused = store.execute(Transaction.builder(String.format("id-%05d", number))
                            .build())
                    .blockingGet();
        }
        assertEquals(0, sweep(collector, scheduler));
        assertEquals(1_000, collector.trackedRowCount());
        scheduler.advanceTimeBy(119, TimeUnit.SECONDS);
        assertEquals(0, sweep(collector, scheduler));
        scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        assertEquals(1_000, sweep(collector, scheduler));
        sweep(collector, scheduler);
        scheduler.advanceTimeBy(2, TimeUnit.MINUTES);
        sweep(collector, scheduler);
        int remainingMarkers =
                store.scan(TransactionMarker.TABLE, "", "", 5_000).blockingGet().size();
        assertTrue(remainingMarkers < 20, "remaining markers: " + remainingMarkers);
    }

    private static int sweep(MarkerGarbageCollector collector, TestScheduler scheduler) {
        var sweep = collector.sweep().test();
        scheduler.triggerActions();
        scheduler.triggerActions();
        return sweep.assertComplete().values().get(0);
    }
}
