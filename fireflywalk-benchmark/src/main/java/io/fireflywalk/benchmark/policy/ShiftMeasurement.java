package io.fireflywalk.benchmark.policy;

import io.fireflywalk.benchmark.policy.SimulatedRequest.Kind;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/** Measures goodput while the request mix changes, against baselines and the best fixed split of each phase. */
final class ShiftMeasurement {
    private static final int MAXIMUM_PREFILL_RUNNERS = 6;
    private static final int BUCKET_SECONDS = 5;

    private ShiftMeasurement() {}

    /** Numbers of sent requests and of those that met their goals in one run. */
    private static final class Outcome {
        private final int[] goodByPhase =
                new int[Phase.shiftingMix(Deployment.LAKES, 1).size()];
        private final int[] goodByKind = new int[Kind.values().length];
        private final int[] sentByKind = new int[Kind.values().length];
        private final double[] timeline;
        private int firstTokensInTime;

        Outcome(double seconds) {
            timeline = new double[(int) seconds / BUCKET_SECONDS];
        }

        void add(Outcome other, int phase) {
            goodByPhase[phase] += other.goodByPhase[phase];
        }

        int good() {
            return IntStream.of(goodByPhase).sum();
        }
    }

    static MeasurementResult run(long firstSeed, int seeds, double load, List<Deployment> deployments) {
        StringBuilder report = new StringBuilder();
        SvgPlot plot = new SvgPlot("Goodput of the large service, LAKES", "seconds", "requests per second");
        for (Deployment deployment : deployments) {
            Map<String, Samples> ratios = new LinkedHashMap<>();
            for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                Map<Policy, Outcome> outcomes = runAll(deployment, seed, load);
                appendOutcomes(report, deployment, seed, outcomes, ratios);
                if (deployment == Deployment.LAKES && seed == firstSeed) {
                    outcomes.forEach((policy, outcome) -> plot(plot, policy, outcome));
                }
            }
            ratios.forEach(
                    (name, samples) -> report.append(String.format("%s ratio %s: %s%n", deployment, name, samples)));
        }
        return new MeasurementResult(report.toString(), plot.render());
    }

    private static Map<Policy, Outcome> runAll(Deployment deployment, long seed, double load) {
        List<Policy> policies = new ArrayList<>(List.of(
                Policy.fireflywalk(),
                Policy.withoutShares(),
                Policy.withoutSplit(),
                Policy.leastReported(),
                Policy.roundRobin()));
        for (int i = 1; i <= MAXIMUM_PREFILL_RUNNERS; i++) {
            policies.add(Policy.fixedSplit(i));
        }
        List<Outcome> outcomes = policies.parallelStream()
                .map(policy -> policy.prefillRunners() > 0
                        ? runPhases(deployment, policy, seed, load)
                        : run(deployment, policy, seed, load, request -> true))
                .toList();
        Map<Policy, Outcome> result = new LinkedHashMap<>();
        for (int i = 0; i < policies.size(); i++) {
            result.put(policies.get(i), outcomes.get(i));
        }
        return result;
    }

    /**
     * Runs each phase of a fixed split separately: without a backlog from earlier phases, but with the prefixes that
     * these left in the caches.
     */
    private static Outcome runPhases(Deployment deployment, Policy policy, long seed, double load) {
        Outcome sum = new Outcome(0);
        for (int i = 0; i < sum.goodByPhase.length; i++) {
            int phase = i;
            Outcome outcome = run(
                    deployment,
                    policy,
                    seed,
                    load,
                    request -> request.phase == phase || (request.phase < phase && request.kind == Kind.LONG));
            sum.add(outcome, phase);
        }
        return sum;
    }

    private static Outcome run(
            Deployment deployment, Policy policy, long seed, double load, Predicate<SimulatedRequest> filter) {
        Workload workload = Workload.create(Phase.shiftingMix(deployment, load), Workload.Flood.none(), seed)
                .filter(filter);
        new FleetSimulation(deployment, policy, seed).run(workload, -1, -1, FleetSimulation.Fault.NONE, 0);
        Outcome outcome = new Outcome(workload.seconds());
        for (SimulatedRequest request : workload.requests()) {
            outcome.sentByKind[request.kind.index()]++;
            outcome.firstTokensInTime += request.kind == Kind.SHORT && request.firstTokenInTime() ? 1 : 0;
            if (request.meetsGoals()) {
                outcome.goodByKind[request.kind.index()]++;
                if (request.kind != Kind.TASK) {
                    outcome.goodByPhase[request.phase]++;
                    outcome.timeline[(int) (request.arrival / 1_000_000_000L) / BUCKET_SECONDS] += 1.0 / BUCKET_SECONDS;
                }
            }
        }
        return outcome;
    }

    private static void appendOutcomes(
            StringBuilder report,
            Deployment deployment,
            long seed,
            Map<Policy, Outcome> outcomes,
            Map<String, Samples> ratios) {
        int[] bestFixedByPhase = new int[Phase.shiftingMix(Deployment.LAKES, 1).size()];
        Outcome fireflywalk = outcomes.get(Policy.fireflywalk());
        outcomes.forEach((policy, outcome) -> {
            report.append(String.format(
                    Locale.ROOT,
                    "%s seed %d %-16s good %5d by phase %s short %d of %d (%d first tokens in time) long %d of %d"
                            + " task %d of %d%n",
                    deployment,
                    seed,
                    policy.name(),
                    outcome.good(),
                    java.util.Arrays.toString(outcome.goodByPhase),
                    outcome.goodByKind[0],
                    outcome.sentByKind[0],
                    outcome.firstTokensInTime,
                    outcome.goodByKind[1],
                    outcome.sentByKind[1],
                    outcome.goodByKind[2],
                    outcome.sentByKind[2]));
            if (policy.prefillRunners() > 0 || policy.equals(Policy.withoutSplit())) {
                for (int i = 0; i < bestFixedByPhase.length; i++) {
                    bestFixedByPhase[i] = Math.max(bestFixedByPhase[i], outcome.goodByPhase[i]);
                }
            }
            if (policy.prefillRunners() == 0 && !policy.equals(Policy.fireflywalk())) {
                addRatio(ratios, "to " + policy.name(), fireflywalk.good() / (double) outcome.good());
            }
        });
        addRatio(
                ratios,
                "to best fixed split per phase",
                fireflywalk.good() / (double) IntStream.of(bestFixedByPhase).sum());
        addRatio(
                ratios,
                "to all sent",
                fireflywalk.good() / (double) (fireflywalk.sentByKind[0] + fireflywalk.sentByKind[1]));
    }

    private static void addRatio(Map<String, Samples> ratios, String name, double value) {
        ratios.computeIfAbsent(name, key -> new Samples()).add(value);
    }

    private static void plot(SvgPlot plot, Policy policy, Outcome outcome) {
        if (policy.prefillRunners() > 0) {
            return;
        }
        double[] seconds = IntStream.range(0, outcome.timeline.length)
                .mapToDouble(i -> (double) i * BUCKET_SECONDS)
                .toArray();
        plot.line(policy.name(), seconds, outcome.timeline);
    }
}
