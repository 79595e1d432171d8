package io.fireflywalk.daemon.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.admission.FleetPressure;
import io.fireflywalk.core.admission.UsageDigest;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.error.RunState;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.Future;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests queueing, refusals with a correct run state, and digests from another configuration version. */
class AdmissionGateTest {
    private static final long DEADLINE_MILLISECONDS = 20_000;

    private final TestScheduler scheduler = new TestScheduler();
    private ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty()
            .apply(
                    1,
                    List.of(
                            DocumentChange.put(new ClientAccount("county", 1, 10)),
                            DocumentChange.put(new ClientAccount("town", 1, 10))));
    private FleetPressure pressure = FleetPressure.none();
    private final AdmissionGate gate = new AdmissionGate(
            new SchedulerTimerService(scheduler),
            () -> snapshot,
            (configuration, service) -> pressure,
            new Random(1),
            new MetricRegistry());

    @BeforeEach
    void start() {
        gate.start();
    }

    private Future<Void> admit(String account) {
        return gate.admitModel(account, "draft", 600, 150, DEADLINE_MILLISECONDS);
    }

    @Test
    void requestIsQueuedUnderPressureAndReleasedAfterwards() {
        pressure = new FleetPressure(2, 1e9, 0);
        Future<Void> queued = admit("county");
        assertFalse(queued.isComplete());
        pressure = FleetPressure.none();
        scheduler.advanceTimeBy(20, TimeUnit.MILLISECONDS);
        assertTrue(queued.succeeded());
    }

    @Test
    void queueTimeIsBoundedAndTheRefusalStatesNotRun() {
        pressure = new FleetPressure(2, 1e9, 0);
        Future<Void> queued = admit("county");
        scheduler.advanceTimeBy(5, TimeUnit.SECONDS);
        FireflywalkException refusal = (FireflywalkException) queued.cause();
        assertEquals(RunState.NOT_RUN, refusal.runState());
    }

    @Test
    void unreachableDeadlineIsRefusedImmediately() {
        pressure = new FleetPressure(0.1, 1e9, 30);
        FireflywalkException refusal = (FireflywalkException) admit("county").cause();
        assertEquals(ErrorKind.DEADLINE_UNREACHABLE, refusal.kind());
    }

    @Test
    void publicRouteNeedsNoAccount() {
        assertTrue(gate.admitPlain("", "billing", DEADLINE_MILLISECONDS).succeeded());
    }

    @Test
    void digestOfAnotherConfigurationVersionIsIgnored() {
        admit("town");
        UsageDigest digest = gate.takeDigest();
        assertEquals(1, digest.entries().get(0).account());
        snapshot = snapshot.apply(2, List.of(DocumentChange.put(new ClientAccount("abbey", 1, 10))));
        gate.addPeerUsage("peer", digest);
        admit("town");
        assertEquals(2, gate.takeDigest().entries().get(0).account());
    }
}
