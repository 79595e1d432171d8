package io.fireflywalk.benchmark.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.benchmark.policy.SimulatedRequest.Kind;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards the measurements against chance, and the policy against a loss of its lead over the baselines. */
class FleetSimulationTest {
    private static final double SECONDS = 30;

    private static List<SimulatedRequest> run(Policy policy, double load, long seed, FleetSimulation.Fault fault) {
        Workload workload = Workload.create(Phase.constant(load, SECONDS), Workload.Flood.none(), seed);
        new FleetSimulation(Deployment.LAKES, policy, seed).run(workload, -1, -1, fault, 10);
        return workload.requests();
    }

    private static long good(List<SimulatedRequest> requests) {
        return requests.stream()
                .filter(request -> request.kind != Kind.TASK && request.good())
                .count();
    }

    @Test
    void sameSeedGivesTheSameOutcome() {
        List<SimulatedRequest> first = run(Policy.fireflywalk(), 1.2, 5, FleetSimulation.Fault.NONE);
        List<SimulatedRequest> second = run(Policy.fireflywalk(), 1.2, 5, FleetSimulation.Fault.NONE);
        for (int i = 0; i < first.size(); i++) {
            assertEquals(first.get(i).firstTokenSeconds(), second.get(i).firstTokenSeconds());
            assertEquals(first.get(i).good(), second.get(i).good());
        }
    }

    @Test
    void goodputUnderHighLoadIsHalfAgainThatOfRoundRobinOrMore() {
        long own = good(run(Policy.fireflywalk(), 1.5, 3, FleetSimulation.Fault.NONE));
        long roundRobin = good(run(Policy.roundRobin(), 1.5, 3, FleetSimulation.Fault.NONE));
        assertTrue(own >= 1.5 * roundRobin, own + " against " + roundRobin);
    }

    @ParameterizedTest
    @EnumSource
    void longRequestsArriveDespiteFaults(FleetSimulation.Fault fault) {
        List<SimulatedRequest> requests = run(Policy.fireflywalk(), 0.8, 4, fault);
        long sent =
                requests.stream().filter(request -> request.kind == Kind.LONG).count();
        long good = requests.stream()
                .filter(request -> request.kind == Kind.LONG && request.good())
                .count();
        int lostWithInstances =
                fault == FleetSimulation.Fault.ZONE_LOSS || fault == FleetSimulation.Fault.INSTANCE_KILL ? 2 : 0;
        assertTrue(good >= sent - lostWithInstances, good + " of " + sent);
    }
}
