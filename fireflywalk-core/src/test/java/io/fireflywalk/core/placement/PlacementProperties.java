package io.fireflywalk.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.routing.RunnerRole;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Guards the promises of placement over random fleets, demands and faults. */
class PlacementProperties {
    private static final PlacementSettings SETTINGS = PlacementSettings.defaults();
    private static final ServedModel SMALL = new ServedModel("small", "1", Optional.empty());
    private static final ServedModel LARGE = new ServedModel("large", "1", Optional.empty());

    @Property(tries = 30)
    void faultsBreakNoPromise(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 0, max = 0.5) double failureRate,
            @ForAll @DoubleRange(min = 0, max = 0.6) double staleRate,
            @ForAll @DoubleRange(min = 0, max = 0.01) double crashRate,
            @ForAll @IntRange(min = 0, max = 4) int minimum) {
        Random random = new Random(seed);
        SimulatedFleet fleet = new SimulatedFleet(
                SETTINGS,
                List.of(demand(SMALL, minimum, 10), demand(LARGE, minimum, 40)),
                second -> List.of(
                        new Work(2 + 2 * Math.sin(second / 200.0), 1 + random.nextDouble()),
                        new Work(1 + random.nextDouble(), 2 + 2 * Math.cos(second / 150.0))),
                100,
                0.5,
                seed);
        fleet.failureRate = failureRate;
        fleet.staleRate = staleRate;
        fleet.crashRate = crashRate;
        fleet.lateRate = 0.2;
        fill(fleet, SMALL, 6);
        fill(fleet, LARGE, 6);
        fleet.run(1_200);
        assertEquals(List.of(), fleet.violations);
    }

    @Property(tries = 10)
    void constantDemandCausesNoOscillation(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 0.1, max = 0.9) double prefillShare,
            @ForAll @DoubleRange(min = 2, max = 8) double total) {
        Random random = new Random(seed);
        SimulatedFleet fleet = new SimulatedFleet(
                SETTINGS,
                List.of(demand(SMALL, 2, 10)),
                second -> List.of(new Work(
                        total * prefillShare * (0.95 + 0.1 * random.nextDouble()),
                        total * (1 - prefillShare) * (0.95 + 0.1 * random.nextDouble()))),
                1_000,
                10,
                seed);
        fill(fleet, SMALL, 8);
        fleet.run(3_600);
        fleet.decisions.clear();
        fleet.run(3_600);
        long orders = fleet.count(PlacementDecision.OrderTargets.class);
        long releases = fleet.count(PlacementDecision.ReleaseTarget.class);
        long changes = fleet.count(PlacementDecision.StartDrain.class);
        // One order on a new extreme of the noise, and one change on the runner that it brings, is not an oscillation.
        assertTrue(orders <= 1 && changes <= 1 && releases == 0, fleet.decisions::toString);
        assertEquals(List.of(), fleet.violations);
    }

    @Property
    void planKeepsTheZoneLossBound(
            @ForAll @DoubleRange(min = 0, max = 500) double work,
            @ForAll @DoubleRange(min = 0, max = 1) double movable,
            @ForAll @DoubleRange(min = 0, max = 1) double deferrable,
            @ForAll @IntRange(min = 0, max = 20) int minimum,
            @ForAll @IntRange(min = 1, max = 6) int zones,
            @ForAll boolean zoneSpare) {
        List<String> names = List.of("a", "b", "c", "d", "e", "f").subList(0, zones);
        ModelDemand demand = new ModelDemand(SMALL, List.of(), minimum, zoneSpare, movable, deferrable, 1, 0);
        TargetPlan plan = TargetPlan.of(work, demand, names, SETTINGS);
        double urgent = work * (1 - movable * deferrable);
        for (String zone : names) {
            int lost = plan.count(zone, TargetCharge.PREEMPTIBLE);
            if (lost > 0) {
                assertTrue((plan.total() - lost) * SETTINGS.lossUtilization() >= urgent - 1e-6, plan::toString);
                assertTrue(plan.total() - lost >= minimum, plan::toString);
            }
        }
        assertTrue(plan.count(TargetCharge.REGULAR) * SETTINGS.utilization() >= work * (1 - movable) - 1e-6);
        assertTrue(plan.total() * SETTINGS.utilization() >= work - 1e-6);
    }

    @Property
    void allowedWorkFitsElsewhereAfterTheLoss(
            @ForAll @IntRange(min = 0, max = 20) int regular,
            @ForAll @IntRange(min = 0, max = 20) int first,
            @ForAll @IntRange(min = 0, max = 20) int second,
            @ForAll @DoubleRange(min = 0, max = 40) double work,
            @ForAll @DoubleRange(min = 0, max = 1) double movable) {
        ModelDemand demand = new ModelDemand(SMALL, List.of(), 0, false, movable, 0, 1, 0);
        PreemptibleBound bound = new PreemptibleBound(regular, Map.of("a", first, "b", second), SETTINGS);
        double allowed = bound.allowedWork("a", work, demand);
        double remaining = (regular + second) * SETTINGS.lossUtilization();
        double rest = Math.max(0, work - first * SETTINGS.utilization());
        assertTrue(allowed >= 0 && allowed <= work * movable + 1e-9);
        assertTrue(allowed == 0 || rest + allowed <= remaining + 1e-9);
    }

    @Property(tries = 40)
    void rollBackRestoresTheEarlierState(@ForAll long seed) {
        Assignment prefill = new Assignment(SMALL, RunnerRole.PREFILL);
        SimulatedFleet fleet = new SimulatedFleet(
                SETTINGS, List.of(demand(SMALL, 1, 10)), second -> List.of(new Work(0.5, 4)), 1_000, 10, seed);
        for (int index = 0; index < 10; index++) {
            fleet.add("runner-" + index, SimulatedFleet.ZONES.get(index % 4), charge(index), prefill);
        }
        fleet.failureRate = 1;
        while (fleet.count(PlacementDecision.RollBack.class) == 0 && fleet.second < 600) {
            fleet.run(1);
        }
        fleet.failureRate = 0;
        fleet.run(12);
        assertEquals(1, fleet.count(PlacementDecision.RollBack.class));
        assertTrue(fleet.decisions.stream()
                .anyMatch(decision -> decision instanceof PlacementDecision.Finish finish
                        && finish.reached().equals(prefill)
                        && fleet.runners
                                .get(finish.change().runner())
                                .assignment
                                .equals(prefill)));
        assertEquals(List.of(), fleet.violations);
    }

    private static ModelDemand demand(ServedModel served, int minimum, double gigabytes) {
        return new ModelDemand(served, List.of(), minimum, false, 0.7, 0.2, gigabytes, 0);
    }

    private static void fill(SimulatedFleet fleet, ServedModel served, int count) {
        for (int index = 0; index < count; index++) {
            fleet.add(
                    served.model() + "-" + index,
                    SimulatedFleet.ZONES.get(index % SimulatedFleet.ZONES.size()),
                    charge(index),
                    new Assignment(served, RunnerRole.MIXED));
        }
    }

    private static TargetCharge charge(int index) {
        return index % 2 == 0 ? TargetCharge.REGULAR : TargetCharge.PREEMPTIBLE;
    }
}
