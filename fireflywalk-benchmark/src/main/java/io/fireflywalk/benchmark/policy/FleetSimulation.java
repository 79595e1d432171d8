package io.fireflywalk.benchmark.policy;

import io.fireflywalk.benchmark.policy.SimulatedRequest.Kind;
import io.fireflywalk.standin.engine.VirtualEngine;
import io.fireflywalk.standin.engine.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** One run of a load against a fleet under a policy. */
final class FleetSimulation {
    private static final int INSTANCES = 9;
    private static final long HEARTBEAT_NANOSECONDS = 500_000_000;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double DRAIN_SECONDS = 30;
    /** Time until the load balancer sends nothing more to an instance that has ended. */
    private static final double BALANCER_SECONDS = 1;

    private static final double RESTART_SECONDS = 30;

    /** What happens in the middle of a run. */
    enum Fault {
        NONE,
        RUNNER_CRASH,
        ZONE_LOSS,
        INSTANCE_KILL
    }

    private final VirtualTime time = new VirtualTime();
    private final Deployment deployment;
    private final SimulatedPool large;
    private final SimulatedPool small;
    private final List<SimulatedInstance> largeInstances = new ArrayList<>();
    private final List<SimulatedInstance> smallInstances = new ArrayList<>();
    private final boolean[] balanced = new boolean[INSTANCES];
    private final Random random;

    FleetSimulation(Deployment deployment, Policy policy, long seed) {
        this.deployment = deployment;
        this.random = new Random(seed);
        int zones = deployment.zones();
        this.large = new SimulatedPool(time, "large", deployment.largeRunners(), zones, policy.prefillRunners(), seed);
        this.small = new SimulatedPool(time, "small", deployment.smallRunners(), zones, 0, seed + 1);
        for (int i = 0; i < INSTANCES; i++) {
            largeInstances.add(new SimulatedInstance(time, policy, large, seed * 17 + i));
            smallInstances.add(new SimulatedInstance(time, policy, small, seed * 19 + i));
            balanced[i] = true;
        }
        heartbeats(largeInstances);
        heartbeats(smallInstances);
    }

    /** Runs the load to its end; the requests then hold what their callers saw. */
    void run(Workload workload, int floodedInstance, int floodingAccount, Fault fault, double faultSeconds) {
        for (SimulatedRequest request : workload.requests()) {
            boolean pinned = floodedInstance >= 0 && request.account == floodingAccount;
            time.schedule(request.arrival, () -> arrive(request, pinned ? floodedInstance : balancedInstance()));
        }
        if (fault != Fault.NONE) {
            time.schedule((long) (faultSeconds * NANOSECONDS_PER_SECOND), () -> strike(fault));
        }
        time.runUntil((long) ((workload.seconds() + DRAIN_SECONDS) * NANOSECONDS_PER_SECOND));
    }

    private void arrive(SimulatedRequest request, int instance) {
        (request.kind == Kind.TASK ? smallInstances : largeInstances)
                .get(instance)
                .arrive(request);
    }

    private int balancedInstance() {
        int index = random.nextInt(INSTANCES);
        while (!balanced[index]) {
            index = random.nextInt(INSTANCES);
        }
        return index;
    }

    private void heartbeats(List<SimulatedInstance> instances) {
        for (SimulatedInstance instance : instances) {
            time.every(
                    (long) (random.nextDouble() * HEARTBEAT_NANOSECONDS),
                    HEARTBEAT_NANOSECONDS,
                    () -> instance.heartbeat(instances));
        }
    }

    private void strike(Fault fault) {
        switch (fault) {
            case RUNNER_CRASH -> {
                VirtualEngine engine = large.engines.get("large-" + random.nextInt(deployment.largeRunners()));
                engine.crash();
                time.schedule((long) (RESTART_SECONDS * NANOSECONDS_PER_SECOND), engine::restart);
            }
            case ZONE_LOSS -> {
                crashZone(large, deployment.zones());
                crashZone(small, deployment.zones());
                for (int i = 0; i < INSTANCES; i += deployment.zones()) {
                    kill(i);
                }
            }
            case INSTANCE_KILL -> kill(random.nextInt(INSTANCES));
            default -> {}
        }
    }

    private void kill(int index) {
        largeInstances.get(index).kill();
        smallInstances.get(index).kill();
        time.schedule((long) (BALANCER_SECONDS * NANOSECONDS_PER_SECOND), () -> balanced[index] = false);
    }

    private static void crashZone(SimulatedPool pool, int zones) {
        int index = 0;
        for (Map.Entry<String, VirtualEngine> entry : pool.engines.entrySet()) {
            if (index % zones == 0) {
                entry.getValue().crash();
            }
            index++;
        }
    }
}
