package io.fireflywalk.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.admission.AdmissionDecision.State;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.RunState;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against unfair admission, unbounded queues and a backlog that outlasts an overload. */
class AdmissionControllerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long TICK = SECOND / 50;
    private static final double COST = 1_000;

    private final AdmissionSettings settings = AdmissionSettings.defaults();

    private static AdmissionRequest request(long id, int account, long now) {
        return new AdmissionRequest(id, account, COST, 0.2, now + 20 * SECOND, 0.4);
    }

    private static FleetPressure pressure(double value) {
        return new FleetPressure(value, 1e9, 0);
    }

    /**
     * Simulates two instances and a fleet that serves 200 requests/s. The pressure is the backlog in units of 0.5 s.
     */
    private Map<Integer, Integer> simulate(int seconds, double[] rates, boolean oneInstance, boolean partition) {
        ShareLedger[] ledgers = {
            new ShareLedger(settings, new double[] {1, 1, 1}), new ShareLedger(settings, new double[] {1, 1, 1})
        };
        AdmissionController[] controllers = {
            new AdmissionController(settings, ledgers[0], new Random(1)),
            new AdmissionController(settings, ledgers[1], new Random(2))
        };
        Map<Long, Integer> accountOf = new HashMap<>();
        Map<Integer, Integer> admitted = new HashMap<>();
        Random random = new Random(3);
        double backlog = 0;
        long id = 0;
        for (long now = 0; now < seconds * SECOND; now += TICK) {
            backlog = Math.max(0, backlog - 200.0 * TICK / SECOND);
            for (int account = 0; account < rates.length; account++) {
                double expected = rates[account] * TICK / SECOND;
                for (int i = 0; i < expected || (i < expected + 1 && random.nextDouble() < expected - i); i++) {
                    int instance = account == 0 && oneInstance ? 0 : random.nextInt(2);
                    accountOf.put(id, account);
                    AdmissionDecision decision =
                            controllers[instance].offer(request(id++, account, now), pressure(backlog / 100), now);
                    backlog += recordAdmission(decision, accountOf, admitted);
                }
            }
            for (int instance = 0; instance < 2; instance++) {
                for (AdmissionDecision decision : controllers[instance].admitQueued(pressure(backlog / 100), now)) {
                    backlog += recordAdmission(decision, accountOf, admitted);
                }
                ledgers[instance].settle(now);
                if (!partition && now % (SECOND / 2) == 0) {
                    ledgers[1 - instance].addPeerUsage(
                            ledgers[instance].takeDigest(1, controllers[instance].queuedByAccount()), now);
                }
            }
        }
        return admitted;
    }

    private static int recordAdmission(
            AdmissionDecision decision, Map<Long, Integer> accountOf, Map<Integer, Integer> admitted) {
        if (decision.state() != State.ADMITTED) {
            return 0;
        }
        admitted.merge(accountOf.get(decision.id()), 1, Integer::sum);
        return 1;
    }

    @ParameterizedTest
    @ValueSource(strings = {"both instances", "one instance", "partition"})
    void accountAtTenTimesItsShareDoesNotDegradeOthers(String scenario) {
        double[] rates = {667, 60, 60};
        Map<Integer, Integer> admitted =
                simulate(30, rates, scenario.equals("one instance"), scenario.equals("partition"));
        assertTrue(admitted.get(1) > 0.9 * 60 * 30, admitted.toString());
        assertTrue(admitted.get(2) > 0.9 * 60 * 30, admitted.toString());
        int total = admitted.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(total > 0.95 * 200 * 30, "unused capacity: " + admitted);
    }

    @Test
    void equallyOverloadingAccountsGetEqualShares() {
        Map<Integer, Integer> admitted = simulate(30, new double[] {400, 400, 400}, false, false);
        int minimum =
                admitted.values().stream().mapToInt(Integer::intValue).min().orElse(0);
        assertTrue(minimum > 0.9 * 200 * 30 / 3, admitted.toString());
    }

    @Test
    void singleActiveAccountCanUseTheWholeFleet() {
        Map<Integer, Integer> admitted = simulate(30, new double[] {400, 0, 0}, true, false);
        assertTrue(admitted.get(0) > 0.95 * 200 * 30, admitted.toString());
    }

    @Test
    void requestThatCannotMeetItsDeadlineIsRefusedImmediatelyWithRetryHint() {
        ShareLedger ledger = new ShareLedger(settings, new double[] {1});
        AdmissionController controller = new AdmissionController(settings, ledger, new Random(1));
        AdmissionRequest request = new AdmissionRequest(1, 0, COST, 3, 5 * SECOND, 1);
        AdmissionDecision decision = controller.offer(request, new FleetPressure(0.1, 1e9, 4), 0);
        assertEquals(State.REFUSED, decision.state());
        assertEquals(Optional.of(ErrorKind.DEADLINE_UNREACHABLE), decision.refusal());
        assertEquals(RunState.NOT_RUN, decision.refusal().orElseThrow().runState());
        assertTrue(decision.retryAfterSeconds() > 0);
    }

    @Test
    void queuesAreBoundedPerAccountAndExpire() {
        ShareLedger ledger = new ShareLedger(settings, new double[] {1, 1});
        AdmissionController controller = new AdmissionController(settings, ledger, new Random(1));
        for (int i = 0; i < 200; i++) {
            controller.offer(request(i, 0, 0), pressure(5), 0);
        }
        assertEquals(settings.queuedPerAccount(), controller.queuedRequests());
        assertEquals(
                State.QUEUED,
                controller.offer(request(200, 1, 0), pressure(5), 0).state());
        assertTrue(controller.cancel(200, 1));
        assertEquals(
                settings.queuedPerAccount(),
                controller.admitQueued(pressure(5), SECOND).size());
        assertEquals(0, controller.queuedRequests());
    }

    @Test
    void overloadLeavesNoBacklog() {
        ShareLedger ledger = new ShareLedger(settings, new double[] {1});
        AdmissionController controller = new AdmissionController(settings, ledger, new Random(1));
        for (int i = 0; i < 10_000; i++) {
            controller.offer(request(i, 0, i * TICK / 10), pressure(3), i * TICK / 10);
            controller.admitQueued(pressure(3), i * TICK / 10);
        }
        long afterOverload = 10_000 * TICK / 10 + SECOND;
        controller.admitQueued(pressure(0.1), afterOverload);
        assertEquals(0, controller.queuedRequests());
        assertEquals(
                State.ADMITTED,
                controller
                        .offer(request(10_000, 0, afterOverload), pressure(0.1), afterOverload)
                        .state());
    }
}
