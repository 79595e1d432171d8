package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StartupGateTest {
    private final TestScheduler scheduler = new TestScheduler();
    private final AtomicBoolean loaded = new AtomicBoolean();
    private final AtomicInteger dispatched = new AtomicInteger();

    /** Guards against requests that are refused although the tables are about to be read, or held for long. */
    @ParameterizedTest
    @CsvSource({"0, 0", "120, 120", "5000, 1000"})
    void requestsAreHeldUntilTheTablesAreReadForASecondAtMost(int loadedAfter, int expected) {
        StartupGate gate = new StartupGate(new SchedulerTimerService(scheduler), loaded::get);
        gate.start();
        loaded.set(loadedAfter == 0);
        assertEquals(loadedAfter > 0, gate.hold(dispatched::incrementAndGet));
        for (int time = 0; time < expected; time += 10) {
            assertEquals(0, dispatched.get(), "after " + time + " ms");
            loaded.set(time + 10 >= loadedAfter);
            scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        }
        assertEquals(loadedAfter > 0 ? 1 : 0, dispatched.get());
        assertFalse(gate.hold(dispatched::incrementAndGet));
    }

    /** Guards against a crowd that fills the memory during a start. */
    @ParameterizedTest
    @CsvSource("256")
    void numberOfHeldRequestsIsBounded(int bound) {
        StartupGate gate = new StartupGate(new SchedulerTimerService(scheduler), loaded::get);
        gate.start();
        for (int number = 0; number < bound; number++) {
            assertTrue(gate.hold(dispatched::incrementAndGet));
        }
        assertFalse(gate.hold(dispatched::incrementAndGet));
    }
}
