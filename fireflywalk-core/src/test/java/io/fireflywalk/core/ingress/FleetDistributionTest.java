package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.ingress.FleetPlanner.ZoneCount;
import io.fireflywalk.core.ingress.FleetPlanner.ZonePlan;
import io.fireflywalk.core.ingress.ServiceProfile.ScalingProfile;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against targets that are taken away before others serve, and against regular ones that are not needed. */
class FleetDistributionTest {
    private static final ScalingProfile SCALING =
            new ScalingProfile(2, 40, Optional.of(0.22), Map.of("zone-a", 1.0, "zone-b", 1.1, "zone-c", 1.2));

    /** Plans 63 targets, of which 42 are needed, and returns the plan of each zone as {@code regular/preemptible}. */
    private static List<String> plan(Map<String, ZoneCount> current, String... closed) {
        return plan(SCALING, 63, current, closed);
    }

    private static List<String> plan(
            ScalingProfile scaling, int targets, Map<String, ZoneCount> current, String... closed) {
        int serving = current.values().stream()
                .mapToInt(count -> count.regular() + count.preemptible())
                .sum();
        return FleetDistribution.plan(scaling, targets, 42, 42, current, serving, Set.of(closed)).stream()
                .map(zone -> zone.regular() + "/" + zone.preemptible())
                .toList();
    }

    private static Map<String, ZoneCount> zones(ZoneCount first, ZoneCount second, ZoneCount third) {
        return Map.of("zone-a", first, "zone-b", second, "zone-c", third);
    }

    private static ZoneCount preemptible(int count) {
        return new ZoneCount(0, count);
    }

    @Test
    void regularTargetsStayUntilEnoughPreemptibleOnesServe() {
        ZoneCount regular = new ZoneCount(14, 0);
        assertEquals(List.of("14/21", "14/21", "14/21"), plan(zones(regular, regular, regular)));
        ZoneCount partly = new ZoneCount(14, 10);
        assertEquals(List.of("0/21", "0/21", "12/21"), plan(zones(partly, partly, partly)));
        ZoneCount replaced = new ZoneCount(14, 21);
        assertEquals(List.of("0/21", "0/21", "0/21"), plan(zones(replaced, replaced, replaced)));
    }

    @Test
    void regularTargetsOfAFullZoneMakeRoomInSteps() {
        ScalingProfile full =
                new ScalingProfile(2, 21, Optional.of(0.22), Map.of("zone-a", 1.0, "zone-b", 1.1, "zone-c", 1.2));
        ZoneCount regular = new ZoneCount(14, 0);
        assertEquals(List.of("14/7", "14/7", "14/7"), plan(full, 63, zones(regular, regular, regular)));
        ZoneCount partly = new ZoneCount(14, 7);
        assertEquals(List.of("0/21", "7/14", "7/14"), plan(full, 63, zones(partly, partly, partly)));
    }

    @Test
    void reclaimOfAZoneIsCoveredByPreemptibleTargetsOfTheOtherZones() {
        assertEquals(
                List.of("0/21", "0/32", "0/31"),
                plan(zones(preemptible(0), preemptible(21), preemptible(21)), "zone-a"));
    }

    @Test
    void regularTargetsAreOrderedOnlyIfNoZoneHasEnoughPreemptibleOnes() {
        assertEquals(
                List.of("14/21", "14/21", "14/21"),
                plan(zones(preemptible(0), preemptible(0), preemptible(0)), "zone-a", "zone-b", "zone-c"));
    }

    @Test
    void targetsOfOtherZonesStayUntilThoseOfAReopenedZoneServe() {
        assertEquals(List.of("0/21", "0/32", "0/31"), plan(zones(preemptible(0), preemptible(32), preemptible(31))));
        assertEquals(List.of("0/21", "0/32", "0/21"), plan(zones(preemptible(10), preemptible(32), preemptible(31))));
        assertEquals(List.of("0/21", "0/21", "0/21"), plan(zones(preemptible(21), preemptible(32), preemptible(31))));
    }

    @ParameterizedTest
    @CsvSource({"0, 2", "9, 3", "300, 40"})
    void plansStayWithinTheLimitsOfAZone(int targets, int expected) {
        for (ZonePlan zone : FleetDistribution.plan(SCALING, targets, targets, targets, Map.of(), 0, Set.of())) {
            assertEquals(expected, zone.regular() + zone.preemptible());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "0, 0.5, 5, PREFILL",
        "5, 0.5, 0, PREFILL",
        "6, 0.5, 1, DECODE",
        "9, 0.5, 1, DECODE",
        "3, 0.7, 4, PREFILL"
    })
    void stagesChangeTowardsTheFractionAndReturnToDecodeOneAtATime(
            int prefillRunners, double fraction, int expectedChanges, Stage expectedStage) {
        List<TargetState> targets = new ArrayList<>();
        for (int index = 0; index < 10; index++) {
            targets.add(TargetFixture.target(
                    "runner-" + index, "zone-a", index < prefillRunners ? Stage.PREFILL : Stage.DECODE));
        }
        List<StageBalance.Change> changes = StageBalance.changes(targets, fraction, Map.of(), 0);
        assertEquals(expectedChanges, changes.size());
        assertTrue(changes.stream().allMatch(change -> change.stage() == expectedStage));
    }

    @Test
    void runnersThatAreChangingTheirStageAreNotOrderedTwice() {
        List<TargetState> targets = List.of(
                TargetFixture.target("a", "zone-a", Stage.DECODE), TargetFixture.target("b", "zone-a", Stage.DECODE));
        assertEquals(List.of(), StageBalance.changes(targets, 0.5, Map.of("a", Stage.PREFILL), 0));
    }
}
