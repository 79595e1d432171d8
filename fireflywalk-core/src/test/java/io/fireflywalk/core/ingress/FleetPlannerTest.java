package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.ingress.FleetPlanner.ZoneCount;
import io.fireflywalk.core.ingress.FleetPlanner.ZonePlan;
import io.fireflywalk.core.ingress.ServiceProfile.ScalingProfile;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against plans beyond a zone's limits and against releasing runners before their replacements are ready. */
class FleetPlannerTest {
    private static final ScalingProfile SCALING =
            new ScalingProfile(1, 4, Optional.of(0.22), Map.of("zone-a", 1.0, "zone-b", 1.2));
    private static final ScalingProfile LARGE_SCALING =
            new ScalingProfile(1, 8, Optional.of(0.22), Map.of("zone-a", 1.0, "zone-b", 1.1, "zone-c", 1.2));

    @ParameterizedTest
    @CsvSource({"2, 0, 2, 2", "2, 1, 2, 2", "2, 2, 1, 3", "1, 3, 0, 4", "0, 4, 0, 4"})
    void regularRunnersAreReplacedByPreemptibleOnes(
            int regular, int preemptible, int expectedRegular, int expectedPreemptible) {
        Map<String, ZoneCount> present = Map.of("zone-a", new ZoneCount(regular, preemptible));
        ZonePlan plan = FleetPlanner.plan(SCALING, 4, present, Set.of()).get(0);
        assertEquals(new ZonePlan("zone-a", expectedRegular, expectedPreemptible), plan);
    }

    @ParameterizedTest
    @CsvSource({"0, 0, 3, 1", "0, 1, 3, 1", "2, 0, 3, 1", "0, 2, 2, 2", "0, 4, 0, 4"})
    void regularRunnersReplaceReclaimedOnesWhenTheFleetIsTooSmall(
            int regular, int preemptible, int expectedRegular, int expectedPreemptible) {
        Map<String, ZoneCount> present = Map.of("zone-a", new ZoneCount(regular, preemptible));
        ZonePlan plan = FleetPlanner.plan(SCALING, 4, present, Set.of("zone-a")).get(0);
        assertEquals(new ZonePlan("zone-a", expectedRegular, expectedPreemptible), plan);
    }

    @ParameterizedTest
    @CsvSource({"8, 0, 0", "6, 0, 2", "6, 2, 2", "6, 1, 2", "4, 0, 4"})
    void regularRunnersAreOrderedOnlyForTheShortfallOfOtherZones(int others, int regular, int expected) {
        Map<String, ZoneCount> present =
                Map.of("zone-a", new ZoneCount(regular, 0), "zone-b", new ZoneCount(0, others));
        assertEquals(
                expected,
                FleetPlanner.plan(LARGE_SCALING, 4, present, Set.of("zone-a"))
                        .get(0)
                        .regular());
    }

    @ParameterizedTest
    @CsvSource({"4, 0, 3, 1", "3, 1, 2, 2", "2, 2, 1, 3"})
    void substituteRegularRunnersAreReplacedWhenPreemptibleOnesAreAvailableAgain(
            int regular, int preemptible, int expectedRegular, int expectedPreemptible) {
        Map<String, ZoneCount> present = Map.of("zone-a", new ZoneCount(regular, preemptible));
        assertEquals(
                new ZonePlan("zone-a", expectedRegular, expectedPreemptible),
                FleetPlanner.plan(SCALING, 4, present, Set.of()).get(0));
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "2, 3", "3, 4", "100, 4"})
    void plansStayWithinTheLimitsOfTheZone(int baselineTargets, int expected) {
        for (ZonePlan plan : FleetPlanner.plan(SCALING, baselineTargets, Map.of(), Set.of())) {
            assertEquals(expected, plan.regular() + plan.preemptible());
        }
    }

    @Test
    void allTargetsAreRegularWhenNoPreemptibleOnesAreOffered() {
        ScalingProfile regularOnly = new ScalingProfile(1, 4, Optional.empty(), Map.of("zone-a", 1.0));
        assertEquals(List.of(new ZonePlan("zone-a", 4, 0)), FleetPlanner.plan(regularOnly, 2, Map.of(), Set.of()));
    }

    @Test
    void halfOfAZonesRunnersPrefillAndTheLeastLoadedSwitch() {
        TargetState busy = TargetFixture.target("busy", "zone-a", Stage.DECODE);
        busy.recordSent();
        TargetState idle = TargetFixture.target("idle", "zone-a", Stage.DECODE);
        assertEquals(List.of(idle), FleetPlanner.runnersToSwitchToPrefill(List.of(busy, idle), 0));
        TargetState prefillRunner = TargetFixture.target("prefill", "zone-a", Stage.PREFILL);
        assertTrue(FleetPlanner.runnersToSwitchToPrefill(List.of(busy, idle, prefillRunner), 0)
                .isEmpty());
    }

    @Test
    void onlyRunnerOfAZoneStaysInDecodeStage() {
        TargetState only = TargetFixture.target("only", "zone-a", Stage.DECODE);
        assertTrue(FleetPlanner.runnersToSwitchToPrefill(List.of(only), 0).isEmpty());
    }
}
