package io.fireflywalk.benchmark.policy;

import io.fireflywalk.benchmark.policy.FleetSimulation.Fault;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Measures the time from a fault until goodput is back at 95% of its level before the fault. */
final class FaultMeasurement {
    private static final double RUN_SECONDS = 120;
    private static final int FAULT_SECOND = 50;
    private static final int BASELINE_SECONDS = 30;
    /** Length of the sliding window for goodput, so that random gaps between arrivals do not count as loss. */
    private static final int WINDOW_SECONDS = 3;

    private static final double RECOVERY_THRESHOLD = 0.95;

    private FaultMeasurement() {}

    static MeasurementResult run(long firstSeed, int seeds, double load) {
        StringBuilder report = new StringBuilder();
        Map<String, Samples> recoveries = new LinkedHashMap<>();
        SvgPlot plot = new SvgPlot("Goodput as fraction of requests, by second of arrival", "seconds", "fraction");
        for (Fault fault : List.of(Fault.RUNNER_CRASH, Fault.ZONE_LOSS, Fault.INSTANCE_KILL)) {
            for (Policy policy : List.of(Policy.fireflywalk(), Policy.leastReported(), Policy.roundRobin())) {
                String name = fault + " " + policy.name();
                for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                    double[] goodFractions = run(policy, seed, load, fault);
                    double recoverySeconds = recoverySeconds(goodFractions);
                    recoveries.computeIfAbsent(name, key -> new Samples()).add(recoverySeconds);
                    report.append(String.format(
                            Locale.ROOT,
                            "%s seed %d: before %.3f, lowest %.3f, recovered after %.0f s%n",
                            name,
                            seed,
                            baseline(goodFractions),
                            lowest(goodFractions),
                            recoverySeconds));
                    if (seed == firstSeed && policy.equals(Policy.fireflywalk())) {
                        double[] seconds = new double[goodFractions.length];
                        for (int i = 0; i < seconds.length; i++) {
                            seconds[i] = i;
                        }
                        plot.line(name, seconds, goodFractions);
                    }
                }
            }
        }
        recoveries.forEach(
                (name, samples) -> report.append(String.format("recovery seconds, %s: %s%n", name, samples)));
        return new MeasurementResult(report.toString(), plot.render());
    }

    private static double[] run(Policy policy, long seed, double load, Fault fault) {
        Workload workload = Workload.create(Phase.constantMix(load, RUN_SECONDS), Workload.Flood.none(), seed);
        new FleetSimulation(Deployment.LAKES, policy, seed).run(workload, -1, -1, fault, FAULT_SECOND);
        double[] goodRequests = new double[(int) RUN_SECONDS];
        double[] sentRequests = new double[(int) RUN_SECONDS];
        for (SimulatedRequest request : workload.requests()) {
            int second = (int) (request.arrival / 1_000_000_000L);
            sentRequests[second]++;
            goodRequests[second] += request.meetsGoals() ? 1 : 0;
        }
        double[] goodFractions = new double[goodRequests.length];
        for (int i = 0; i < goodFractions.length; i++) {
            goodFractions[i] = windowSum(goodRequests, i) / Math.max(1, windowSum(sentRequests, i));
        }
        return goodFractions;
    }

    private static double windowSum(double[] counts, int start) {
        double sum = 0;
        for (int i = start; i < Math.min(counts.length, start + WINDOW_SECONDS); i++) {
            sum += counts[i];
        }
        return sum;
    }

    private static double baseline(double[] goodFractions) {
        double sum = 0;
        for (int i = FAULT_SECOND - BASELINE_SECONDS - WINDOW_SECONDS; i < FAULT_SECOND - WINDOW_SECONDS; i++) {
            sum += goodFractions[i] / BASELINE_SECONDS;
        }
        return sum;
    }

    private static double lowest(double[] goodFractions) {
        double lowest = 1;
        for (int i = FAULT_SECOND - WINDOW_SECONDS; i < goodFractions.length; i++) {
            lowest = Math.min(lowest, goodFractions[i]);
        }
        return lowest;
    }

    /** Returns the seconds from the fault until the first of three successive windows at or above the threshold. */
    private static double recoverySeconds(double[] goodFractions) {
        double threshold = RECOVERY_THRESHOLD * baseline(goodFractions);
        for (int i = FAULT_SECOND; i + 2 < goodFractions.length; i++) {
            if (goodFractions[i] >= threshold
                    && goodFractions[i + 1] >= threshold
                    && goodFractions[i + 2] >= threshold) {
                return i - FAULT_SECOND;
            }
        }
        return RUN_SECONDS - FAULT_SECOND;
    }
}
