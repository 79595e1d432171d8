package io.fireflywalk.benchmark.policy;

import io.fireflywalk.benchmark.policy.FleetSimulation.Fault;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Time from a fault until goodput is back at 95% of what it was. */
final class FaultMeasurement {
    private static final double SECONDS = 120;
    private static final int FAULT_SECOND = 50;
    private static final int BEFORE_SECONDS = 30;
    /** Goodput is compared over this many seconds, so that single missing arrivals do not count. */
    private static final int WINDOW_SECONDS = 3;

    private static final double RECOVERED = 0.95;

    private FaultMeasurement() {}

    static Measurement run(long firstSeed, int seeds, double load) {
        StringBuilder text = new StringBuilder();
        Map<String, Spread> recoveries = new LinkedHashMap<>();
        SvgPlot plot = new SvgPlot("Good part of the requests by second of arrival", "seconds", "part");
        for (Fault fault : List.of(Fault.RUNNER_CRASH, Fault.ZONE_LOSS, Fault.INSTANCE_KILL)) {
            for (Policy policy : List.of(Policy.fireflywalk(), Policy.leastReported(), Policy.roundRobin())) {
                String name = fault + " " + policy.name();
                for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                    double[] parts = run(policy, seed, load, fault);
                    double recovery = recovery(parts);
                    recoveries.computeIfAbsent(name, key -> new Spread()).add(recovery);
                    text.append(String.format(
                            Locale.ROOT,
                            "%s seed %d: before %.3f, lowest %.3f, recovered after %.0f s%n",
                            name,
                            seed,
                            before(parts),
                            lowest(parts),
                            recovery));
                    if (seed == firstSeed && policy.equals(Policy.fireflywalk())) {
                        double[] seconds = new double[parts.length];
                        for (int i = 0; i < seconds.length; i++) {
                            seconds[i] = i;
                        }
                        plot.line(name, seconds, parts);
                    }
                }
            }
        }
        recoveries.forEach((name, spread) -> text.append(String.format("recovery seconds, %s: %s%n", name, spread)));
        return new Measurement(text.toString(), plot.render());
    }

    private static double[] run(Policy policy, long seed, double load, Fault fault) {
        Workload workload = Workload.create(Phase.constant(load, SECONDS), Workload.Flood.none(), seed);
        new FleetSimulation(Deployment.LAKES, policy, seed).run(workload, -1, -1, fault, FAULT_SECOND);
        double[] good = new double[(int) SECONDS];
        double[] sent = new double[(int) SECONDS];
        for (SimulatedRequest request : workload.requests()) {
            int second = (int) (request.arrival / 1_000_000_000L);
            sent[second]++;
            good[second] += request.good() ? 1 : 0;
        }
        double[] parts = new double[good.length];
        for (int i = 0; i < parts.length; i++) {
            parts[i] = window(good, i) / Math.max(1, window(sent, i));
        }
        return parts;
    }

    private static double window(double[] counts, int start) {
        double sum = 0;
        for (int i = start; i < Math.min(counts.length, start + WINDOW_SECONDS); i++) {
            sum += counts[i];
        }
        return sum;
    }

    private static double before(double[] parts) {
        double sum = 0;
        for (int i = FAULT_SECOND - BEFORE_SECONDS - WINDOW_SECONDS; i < FAULT_SECOND - WINDOW_SECONDS; i++) {
            sum += parts[i] / BEFORE_SECONDS;
        }
        return sum;
    }

    private static double lowest(double[] parts) {
        double lowest = 1;
        for (int i = FAULT_SECOND - WINDOW_SECONDS; i < parts.length; i++) {
            lowest = Math.min(lowest, parts[i]);
        }
        return lowest;
    }

    /** Returns the first time after the fault from which three successive windows are recovered. */
    private static double recovery(double[] parts) {
        double goal = RECOVERED * before(parts);
        for (int i = FAULT_SECOND; i + 2 < parts.length; i++) {
            if (parts[i] >= goal && parts[i + 1] >= goal && parts[i + 2] >= goal) {
                return i - FAULT_SECOND;
            }
        }
        return SECONDS - FAULT_SECOND;
    }
}
