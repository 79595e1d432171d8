package io.fireflywalk.benchmark.policy;

import io.fireflywalk.benchmark.policy.SimulatedRequest.Kind;
import io.fireflywalk.standin.engine.SimulatedEngine;
import io.fireflywalk.standin.engine.VirtualTimeScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Simulation of one workload on a fleet under one policy. */
final class FleetSimulation {
    private static final int INSTANCES = 9;
    private static final long HEARTBEAT_INTERVAL_NANOSECONDS = 500_000_000;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double DRAIN_SECONDS = 30;
    /** Time until the load balancer removes a failed instance from rotation. */
    private static final double BALANCER_DETECTION_SECONDS = 1;

    private static final double ENGINE_RESTART_SECONDS = 30;

    /** Fault that is injected during a run. */
    enum Fault {
        NONE,
        RUNNER_CRASH,
        ZONE_LOSS,
        INSTANCE_KILL
    }

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final Deployment deployment;
    private final SimulatedPool largePool;
    private final SimulatedPool smallPool;
    private final List<SimulatedInstance> largeInstances = new ArrayList<>();
    private final List<SimulatedInstance> smallInstances = new ArrayList<>();
    private final boolean[] inRotation = new boolean[INSTANCES];
    private final Random random;

    FleetSimulation(Deployment deployment, Policy policy, long seed) {
        this.deployment = deployment;
        this.random = new Random(seed);
        int zones = deployment.zones();
        this.largePool =
                new SimulatedPool(time, "large", deployment.largeRunners(), zones, policy.prefillRunners(), seed);
        this.smallPool = new SimulatedPool(time, "small", deployment.smallRunners(), zones, 0, seed + 1);
        for (int i = 0; i < INSTANCES; i++) {
            largeInstances.add(new SimulatedInstance(time, policy, largePool, seed * 17 + i));
            smallInstances.add(new SimulatedInstance(time, policy, smallPool, seed * 19 + i));
            inRotation[i] = true;
        }
        scheduleHeartbeats(largeInstances);
        scheduleHeartbeats(smallInstances);
    }

    /**
     * Runs the workload to its end; the requests then hold their outcomes.
     *
     * @param floodedInstance instance that receives all requests of the flooding account, or -1 to balance them
     *     like the rest
     */
    void run(Workload workload, int floodedInstance, int floodingAccount, Fault fault, double faultSeconds) {
        for (SimulatedRequest request : workload.requests()) {
            boolean pinned = floodedInstance >= 0 && request.account == floodingAccount;
            time.schedule(request.arrival, () -> arrive(request, pinned ? floodedInstance : pickInstanceInRotation()));
        }
        if (fault != Fault.NONE) {
            time.schedule((long) (faultSeconds * NANOSECONDS_PER_SECOND), () -> injectFault(fault));
        }
        time.runUntil((long) ((workload.seconds() + DRAIN_SECONDS) * NANOSECONDS_PER_SECOND));
    }

    private void arrive(SimulatedRequest request, int instance) {
        (request.kind == Kind.TASK ? smallInstances : largeInstances)
                .get(instance)
                .arrive(request);
    }

    private int pickInstanceInRotation() {
        int index = random.nextInt(INSTANCES);
        while (!inRotation[index]) {
            index = random.nextInt(INSTANCES);
        }
        return index;
    }

    private void scheduleHeartbeats(List<SimulatedInstance> instances) {
        for (SimulatedInstance instance : instances) {
            time.scheduleAtFixedRate(
                    (long) (random.nextDouble() * HEARTBEAT_INTERVAL_NANOSECONDS),
                    HEARTBEAT_INTERVAL_NANOSECONDS,
                    () -> instance.heartbeat(instances));
        }
    }

    private void injectFault(Fault fault) {
        switch (fault) {
            case RUNNER_CRASH -> {
                SimulatedEngine engine = largePool.engines.get("large-" + random.nextInt(deployment.largeRunners()));
                engine.crash();
                time.schedule((long) (ENGINE_RESTART_SECONDS * NANOSECONDS_PER_SECOND), engine::restart);
            }
            case ZONE_LOSS -> {
                crashZone(largePool, deployment.zones());
                crashZone(smallPool, deployment.zones());
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
        time.schedule((long) (BALANCER_DETECTION_SECONDS * NANOSECONDS_PER_SECOND), () -> inRotation[index] = false);
    }

    private static void crashZone(SimulatedPool pool, int zones) {
        int index = 0;
        for (Map.Entry<String, SimulatedEngine> entry : pool.engines.entrySet()) {
            if (index % zones == 0) {
                entry.getValue().crash();
            }
            index++;
        }
    }
}
