package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.ingress.ArrivedWork.Kind;
import io.fireflywalk.core.ingress.ArrivedWork.Load;
import io.fireflywalk.core.ingress.FleetSize.Basis;
import io.fireflywalk.core.ingress.FleetSize.Decision;
import io.fireflywalk.core.ingress.FleetSize.Facts;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against fleets that are too small for waves and surges, that lose targets which are needed seconds later, or
 * that cost as much as the constant plan.
 */
class FleetSizeTest {
    private static final int BASELINE = 42;
    private static final int CONSTANT_PLAN = 3 * BASELINE;
    private static final int INSTANCES = 20;
    private static final Facts FACTS = new Facts(true, 3, 12, true, 21, 21);
    private static final double LONG_PROMPT_MILLISECONDS = 100;
    private static final double SHORT_PROMPT_MILLISECONDS = 18;

    private final FleetDemand demand = new FleetDemand();
    private final ArrivedWork[] totals = new ArrivedWork[INSTANCES];
    private final Random random = new Random(5);
    private FleetSize size = new FleetSize(BASELINE, FACTS, 0);
    private int second;

    /** Work of 43 long and 267 short prompts a second over all instances, times a factor for each kind. */
    private static ArrivedWork arrivals(double longFactor, double shortFactor) {
        double prompts = 43 * longFactor / INSTANCES;
        double shortPrompts = 267 * shortFactor / INSTANCES;
        return new ArrivedWork(
                new Kind(prompts, prompts * LONG_PROMPT_MILLISECONDS, prompts * 627),
                new Kind(shortPrompts, shortPrompts * SHORT_PROMPT_MILLISECONDS, shortPrompts * 260),
                Load.NONE,
                Load.NONE);
    }

    private List<Decision> run(int seconds, double lostMessages, IntToDoubleFunction longFactor) {
        List<Decision> decisions = new ArrayList<>();
        for (int end = second + seconds; second < end; second++) {
            long now = second * 1_000_000_000L;
            double factor = longFactor.applyAsDouble(second);
            for (int instance = 0; instance < INSTANCES; instance++) {
                ArrivedWork before = totals[instance] == null ? ArrivedWork.NONE : totals[instance];
                totals[instance] = before.plus(arrivals(factor, Math.max(0, 2 - factor)));
                if (random.nextDouble() >= lostMessages) {
                    demand.record("instance-" + instance, 1, second * 1000L, totals[instance], now);
                }
            }
            decisions.add(size.decide(demand.sample(INSTANCES, now), demand.demand(), FACTS, now));
        }
        return decisions;
    }

    /** Waves of 2.8 s with factors of 0.5 to 1.9, and a surge of 14 s with a factor of 1.8 each minute. */
    private static double waves(int second) {
        boolean surge = second % 60 >= 40 && second % 60 < 54;
        double[] factors = {1.0, 1.9, 0.5, 1.2, 0.7};
        return surge ? 1.8 : factors[(int) (second / 2.8) % factors.length];
    }

    /** Runners that the work of a second keeps busy, with one zone's runners lost. */
    private static double utilisationAfterZoneLoss(Decision decision, double longFactor) {
        ArrivedWork work = arrivals(longFactor, 2 - longFactor).times(INSTANCES);
        double busy = (work.prefill().milliseconds() + work.decode().milliseconds()) / 1000;
        return busy / (decision.targets() * 2 / 3.0);
    }

    @ParameterizedTest
    @CsvSource({"0", "0.2"})
    void wavesAndSurgesAreServedWithoutAZoneByHalfOfTheConstantPlan(double lostMessages) {
        List<Decision> decisions = run(240, lostMessages, FleetSizeTest::waves);
        int ordered = decisions.stream().mapToInt(Decision::targets).sum();
        assertTrue(2 * ordered <= CONSTANT_PLAN * decisions.size(), "ordered " + ordered);
        for (int index = 0; index < decisions.size(); index++) {
            assertTrue(utilisationAfterZoneLoss(decisions.get(index), waves(index)) <= 0.7, "second " + index);
            assertTrue(decisions.get(index).targets() >= BASELINE);
        }
    }

    @Test
    void fleetFallsByAtMostATenthInThreeSecondsAfterASurge() {
        // A surge for which the baseline does not suffice, also with square-root staffing.
        run(30, 0, second -> 8);
        List<Decision> decisions = run(90, 0, second -> 0.5);
        for (int index = 3; index < decisions.size(); index++) {
            assertTrue(decisions.get(index).targets()
                    >= Math.floor(0.9 * decisions.get(index - 3).targets()));
        }
        assertTrue(decisions.get(12).targets() >= decisions.get(0).targets(), "fell within the window of the surge");
        assertTrue(decisions.get(89).targets() < decisions.get(0).targets());
    }

    @ParameterizedTest
    @CsvSource({"21, 63", "40, 80", "100, 126"})
    void newLeaseHolderKeepsThePresentTargetsUntilTheLoadIsMeasured(int presentOfEachStage, int expected) {
        Facts present = new Facts(true, 3, 12, true, presentOfEachStage, presentOfEachStage);
        size = new FleetSize(BASELINE, present, 0);
        for (Decision decision : run(12, 0, second -> 1)) {
            assertTrue(decision.targets() >= expected);
        }
        assertTrue(run(40, 0, second -> 1).get(39).targets() < 63);
    }

    @Test
    void idleSecondsBeforeTheFirstRequestsAreNoMeasurement() {
        size = new FleetSize(BASELINE, FACTS, 0);
        for (int idle = 0; idle < 30; idle++) {
            long now = idle * 1_000_000_000L;
            Decision decision = size.decide(Optional.of(ArrivedWork.NONE), demand.demand(), FACTS, now);
            assertEquals(63, decision.targets());
            assertEquals(Basis.UNMEASURED, decision.basis());
        }
    }

    @ParameterizedTest
    @CsvSource({"true, 126", "false, 84"})
    void missingTotalsReturnTheConstantPlan(boolean preemptible, int expected) {
        Facts facts = new Facts(preemptible, 3, 12, true, 21, 21);
        size = new FleetSize(BASELINE, facts, 0);
        run(30, 0, second -> 1);
        second += 4;
        long now = second * 1_000_000_000L;
        Decision decision = size.decide(demand.sample(INSTANCES, now), demand.demand(), facts, now);
        assertEquals(Basis.TOTALS_MISSING, decision.basis());
        assertEquals(expected, decision.targets());
    }

    @Test
    void runnersSlowerThanTheModelRaiseThePlan() {
        int before = run(60, 0, second -> 1).get(59).targets();
        FleetDemand.Demand measured = demand.demand();
        FleetDemand.Demand loaded = new FleetDemand.Demand(measured.prefill(), measured.decode(), 8, 10);
        Decision decision = size.decide(Optional.of(arrivals(1, 1)), loaded, FACTS, second * 1_000_000_000L);
        assertTrue(decision.targets() > before);
        assertTrue(decision.targets() <= CONSTANT_PLAN);
    }

    @ParameterizedTest
    @CsvSource({"1.9, 0.7", "0.05, 0.3"})
    void fractionOfPrefillRunnersFollowsTheWorkOfBothKinds(double longFactor, double expected) {
        List<Decision> decisions = run(90, 0, second -> longFactor);
        assertEquals(expected, decisions.get(89).prefillFraction(), 0.08);
        long changes = decisions.stream()
                .mapToDouble(Decision::prefillFraction)
                .distinct()
                .count();
        assertTrue(changes <= 4, "a change of a stage costs seconds of a runner");
    }
}
