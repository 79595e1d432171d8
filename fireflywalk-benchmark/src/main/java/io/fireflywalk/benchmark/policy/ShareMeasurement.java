package io.fireflywalk.benchmark.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Goodput of each client account against its entitled share while another one floods. */
final class ShareMeasurement {
    private static final int FLOODING_ACCOUNT = 2;
    private static final double FLOOD_FACTOR = 10;
    private static final double SECONDS = 120;
    private static final double FLOOD_FROM = 20;
    private static final double FLOOD_TO = 100;
    private static final double SETTLED_SECONDS = 5;

    private ShareMeasurement() {}

    static Measurement run(long firstSeed, int seeds, double load) {
        StringBuilder text = new StringBuilder();
        Map<String, Spread> worst = new LinkedHashMap<>();
        SvgPlot plot =
                new SvgPlot("Good part of what each account sent during a flood by account 2", "account", "part");
        List<Policy> policies =
                List.of(Policy.fireflywalk(), Policy.withoutShares(), Policy.leastReported(), Policy.roundRobin());
        for (int flooded : new int[] {-1, 0}) {
            for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                long present = seed;
                List<double[]> parts = policies.parallelStream()
                        .map(policy -> run(policy, present, load, flooded))
                        .toList();
                for (int i = 0; i < policies.size(); i++) {
                    String where = flooded < 0 ? "flood everywhere" : "flood at one instance";
                    String name = where + ", " + policies.get(i).name();
                    record(text, worst, name, seed, parts.get(i));
                    if (seed == firstSeed) {
                        double[] accounts = new double[] {0, 1, 2, 3, 4, 5, 6, 7};
                        plot.line(name, accounts, parts.get(i));
                    }
                }
            }
        }
        worst.forEach((name, spread) ->
                text.append(String.format("worst-served account over its entitled share, %s: %s%n", name, spread)));
        return new Measurement(text.toString(), plot.render());
    }

    private static void record(StringBuilder text, Map<String, Spread> worst, String name, long seed, double[] parts) {
        List<Double> others = new ArrayList<>();
        for (int i = 0; i < parts.length; i++) {
            if (i != FLOODING_ACCOUNT) {
                others.add(parts[i]);
            }
        }
        double minimum = others.stream().mapToDouble(Double::doubleValue).min().orElse(0);
        worst.computeIfAbsent(name, key -> new Spread()).add(minimum);
        text.append(String.format(
                Locale.ROOT,
                "seed %d %s: worst %.3f, by account %s%n",
                seed,
                name,
                minimum,
                Arrays.toString(Arrays.stream(parts)
                        .map(part -> Math.round(part * 1000) / 1000.0)
                        .toArray())));
    }

    /**
     * The accounts other than the flooding one send less than their share, so that their entitlement is what they send;
     * the flooding one is entitled to its ordinary demand.
     */
    private static double[] run(Policy policy, long seed, double load, int flooded) {
        Workload.Flood flood = new Workload.Flood(FLOODING_ACCOUNT, FLOOD_FACTOR, FLOOD_FROM, FLOOD_TO);
        Workload workload = Workload.create(Phase.constant(load, SECONDS), flood, seed);
        new FleetSimulation(Deployment.LAKES, policy, seed)
                .run(workload, flooded, FLOODING_ACCOUNT, FleetSimulation.Fault.NONE, 0);
        double[] good = new double[Workload.WEIGHTS.length];
        double[] sent = new double[Workload.WEIGHTS.length];
        for (SimulatedRequest request : workload.requests()) {
            double at = request.arrival / 1e9;
            if (at >= FLOOD_FROM + SETTLED_SECONDS && at < FLOOD_TO) {
                sent[request.account]++;
                good[request.account] += request.good() ? 1 : 0;
            }
        }
        double[] parts = new double[good.length];
        for (int i = 0; i < parts.length; i++) {
            double entitled = i == FLOODING_ACCOUNT ? sent[i] / FLOOD_FACTOR : sent[i];
            parts[i] = good[i] / entitled;
        }
        return parts;
    }
}
