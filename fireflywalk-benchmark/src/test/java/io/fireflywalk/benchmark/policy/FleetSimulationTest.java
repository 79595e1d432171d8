package io.fireflywalk.benchmark.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.benchmark.policy.SimulatedRequest.Kind;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against runs that do not reproduce from their seed, against loss of the policy's lead over round robin, and
 * against faults that make long requests miss their deadline.
 */
class FleetSimulationTest {
    private static final double SECONDS = 30;

    private static List<SimulatedRequest> run(Policy policy, double load, long seed, FleetSimulation.Fault fault) {
        Workload workload = Workload.create(Phase.constantMix(load, SECONDS), Workload.Flood.none(), seed);
        new FleetSimulation(Deployment.LAKES, policy, seed).run(workload, -1, -1, fault, 10);
        return workload.requests();
    }

    private static long countGood(List<SimulatedRequest> requests) {
        return requests.stream()
                .filter(request -> request.kind != Kind.TASK && request.meetsGoals())
                .count();
    }

    @Test
    void sameSeedGivesTheSameOutcome() {
        List<SimulatedRequest> first = run(Policy.fireflywalk(), 1.2, 5, FleetSimulation.Fault.NONE);
        List<SimulatedRequest> second = run(Policy.fireflywalk(), 1.2, 5, FleetSimulation.Fault.NONE);
        for (int i = 0; i < first.size(); i++) {
            assertEquals(first.get(i).firstTokenSeconds(), second.get(i).firstTokenSeconds());
            assertEquals(first.get(i).meetsGoals(), second.get(i).meetsGoals());
        }
    }

    @Test
    void goodputUnderHighLoadIsAtLeastOneAndAHalfTimesThatOfRoundRobin() {
        long fireflywalkGood = countGood(run(Policy.fireflywalk(), 1.5, 3, FleetSimulation.Fault.NONE));
        long roundRobinGood = countGood(run(Policy.roundRobin(), 1.5, 3, FleetSimulation.Fault.NONE));
        assertTrue(
                fireflywalkGood >= 1.5 * roundRobinGood,
                fireflywalkGood + " good requests, round robin " + roundRobinGood);
    }

    @ParameterizedTest
    @EnumSource
    void longRequestsMeetTheirDeadlineDespiteFaults(FleetSimulation.Fault fault) {
        List<SimulatedRequest> requests = run(Policy.fireflywalk(), 0.8, 4, fault);
        long sentCount =
                requests.stream().filter(request -> request.kind == Kind.LONG).count();
        long goodCount = requests.stream()
                .filter(request -> request.kind == Kind.LONG && request.meetsGoals())
                .count();
        int requestsLostWithInstances =
                fault == FleetSimulation.Fault.ZONE_LOSS || fault == FleetSimulation.Fault.INSTANCE_KILL ? 2 : 0;
        assertTrue(goodCount >= sentCount - requestsLostWithInstances, goodCount + " good of " + sentCount);
    }
}
