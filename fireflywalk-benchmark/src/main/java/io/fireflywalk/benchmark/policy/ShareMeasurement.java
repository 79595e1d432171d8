package io.fireflywalk.benchmark.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Measures the goodput of each client account relative to its entitlement while one account floods. */
final class ShareMeasurement {
    private static final int FLOODING_ACCOUNT = 2;
    private static final double FLOOD_FACTOR = 10;
    private static final double RUN_SECONDS = 120;
    private static final double FLOOD_START_SECONDS = 20;
    private static final double FLOOD_END_SECONDS = 100;
    private static final double SETTLE_SECONDS = 5;

    private ShareMeasurement() {}

    static MeasurementResult run(long firstSeed, int seeds, double load) {
        StringBuilder report = new StringBuilder();
        Map<String, Samples> worstFractions = new LinkedHashMap<>();
        SvgPlot plot = new SvgPlot(
                "Goodput of each account relative to its entitlement, flood by account 2", "account", "fraction");
        List<Policy> policies =
                List.of(Policy.fireflywalk(), Policy.withoutShares(), Policy.leastReported(), Policy.roundRobin());
        for (int floodedInstance : new int[] {-1, 0}) {
            for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                long currentSeed = seed;
                List<double[]> goodFractions = policies.parallelStream()
                        .map(policy -> run(policy, currentSeed, load, floodedInstance))
                        .toList();
                for (int i = 0; i < policies.size(); i++) {
                    String floodScope = floodedInstance < 0 ? "flood everywhere" : "flood at one instance";
                    String name = floodScope + ", " + policies.get(i).name();
                    appendResult(report, worstFractions, name, seed, goodFractions.get(i));
                    if (seed == firstSeed) {
                        double[] accounts = new double[] {0, 1, 2, 3, 4, 5, 6, 7};
                        plot.line(name, accounts, goodFractions.get(i));
                    }
                }
            }
        }
        worstFractions.forEach((name, samples) ->
                report.append(String.format("worst-served account over its entitled share, %s: %s%n", name, samples)));
        return new MeasurementResult(report.toString(), plot.render());
    }

    private static void appendResult(
            StringBuilder report, Map<String, Samples> worstFractions, String name, long seed, double[] goodFractions) {
        List<Double> others = new ArrayList<>();
        for (int i = 0; i < goodFractions.length; i++) {
            if (i != FLOODING_ACCOUNT) {
                others.add(goodFractions[i]);
            }
        }
        double minimum = others.stream().mapToDouble(Double::doubleValue).min().orElse(0);
        worstFractions.computeIfAbsent(name, key -> new Samples()).add(minimum);
        report.append(String.format(
                Locale.ROOT,
                "seed %d %s: worst %.3f, by account %s%n",
                seed,
                name,
                minimum,
                Arrays.toString(Arrays.stream(goodFractions)
                        .map(fraction -> Math.round(fraction * 1000) / 1000.0)
                        .toArray())));
    }

    /**
     * Returns goodput relative to entitlement by account. Accounts other than the flooding one send less than their
     * share, so their entitlement is what they send; the flooding account is entitled to its normal demand.
     */
    private static double[] run(Policy policy, long seed, double load, int floodedInstance) {
        Workload.Flood flood =
                new Workload.Flood(FLOODING_ACCOUNT, FLOOD_FACTOR, FLOOD_START_SECONDS, FLOOD_END_SECONDS);
        Workload workload = Workload.create(Phase.constantMix(load, RUN_SECONDS), flood, seed);
        new FleetSimulation(Deployment.LAKES, policy, seed)
                .run(workload, floodedInstance, FLOODING_ACCOUNT, FleetSimulation.Fault.NONE, 0);
        double[] goodRequests = new double[Workload.ACCOUNT_WEIGHTS.length];
        double[] sentRequests = new double[Workload.ACCOUNT_WEIGHTS.length];
        for (SimulatedRequest request : workload.requests()) {
            double arrivalSeconds = request.arrival / 1e9;
            if (arrivalSeconds >= FLOOD_START_SECONDS + SETTLE_SECONDS && arrivalSeconds < FLOOD_END_SECONDS) {
                sentRequests[request.account]++;
                goodRequests[request.account] += request.meetsGoals() ? 1 : 0;
            }
        }
        double[] goodFractions = new double[goodRequests.length];
        for (int i = 0; i < goodFractions.length; i++) {
            double entitledRequests = i == FLOODING_ACCOUNT ? sentRequests[i] / FLOOD_FACTOR : sentRequests[i];
            goodFractions[i] = goodRequests[i] / entitledRequests;
        }
        return goodFractions;
    }
}
