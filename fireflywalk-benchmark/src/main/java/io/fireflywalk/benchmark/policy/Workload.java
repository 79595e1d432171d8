package io.fireflywalk.benchmark.policy;

import io.fireflywalk.benchmark.policy.SimulatedRequest.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Open-loop arrivals generated from a seed: arrival times do not depend on how fast the fleet serves requests.
 *
 * @param requests all requests in order of arrival
 * @param phases phases of the workload, in order
 */
record Workload(List<SimulatedRequest> requests, List<Phase> phases) {
    /** Share weights of the eight client accounts; their normal demand has the same proportions. */
    static final double[] ACCOUNT_WEIGHTS = {4, 3, 1, 1, 1, 1, 0.5, 0.5};

    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final int DOCUMENTS_PER_ACCOUNT = 2;
    private static final int MINIMUM_DOCUMENT_TOKENS = 14_000;
    private static final int DOCUMENT_RANGE_TOKENS = 16_000;
    private static final int LONG_QUESTION_TOKENS = 1_500;
    private static final int LONG_OUTPUT_TOKENS = 300;
    private static final int TASK_PROMPT_TOKENS = 250;
    private static final int TASK_OUTPUT_TOKENS = 25;

    /** A period in which one client account sends a multiple of its normal demand. */
    record Flood(int account, double factor, double fromSeconds, double toSeconds) {
        static Flood none() {
            return new Flood(0, 1, 0, 0);
        }
    }

    static Workload create(List<Phase> phases, Flood flood, long seed) {
        List<SimulatedRequest> requests = new ArrayList<>();
        double start = 0;
        for (int i = 0; i < phases.size(); i++) {
            Phase phase = phases.get(i);
            for (int account = 0; account < ACCOUNT_WEIGHTS.length; account++) {
                double demandFraction = ACCOUNT_WEIGHTS[account] / 12;
                for (Kind kind : Kind.values()) {
                    long streamSeed = seed * 1_000_003 + i * 1_009L + account * 31L + kind.index();
                    addArrivals(
                            requests,
                            phase,
                            i,
                            start,
                            account,
                            kind,
                            demandFraction,
                            flood,
                            new Random(streamSeed),
                            seed);
                }
            }
            start += phase.seconds();
        }
        requests.sort(Comparator.comparingLong((SimulatedRequest request) -> request.arrival)
                .thenComparingLong(request -> request.id));
        return new Workload(List.copyOf(requests), phases);
    }

    /** Returns a workload of the matching requests, at unchanged arrival times. */
    Workload filter(Predicate<SimulatedRequest> filter) {
        return new Workload(requests.stream().filter(filter).toList(), phases);
    }

    double seconds() {
        return phases.stream().mapToDouble(Phase::seconds).sum();
    }

    private static void addArrivals(
            List<SimulatedRequest> requests,
            Phase phase,
            int phaseIndex,
            double start,
            int account,
            Kind kind,
            double demandFraction,
            Flood flood,
            Random random,
            long seed) {
        double rate = demandFraction
                * switch (kind) {
                    case SHORT -> phase.shortRate();
                    case LONG -> phase.longRate();
                    case TASK -> phase.taskRate();
                };
        double arrivalSeconds = start;
        while (true) {
            boolean flooding = account == flood.account()
                    && arrivalSeconds >= flood.fromSeconds()
                    && arrivalSeconds < flood.toSeconds();
            arrivalSeconds -= Math.log(1 - random.nextDouble()) / (rate * (flooding ? flood.factor() : 1));
            if (arrivalSeconds >= start + phase.seconds()) {
                return;
            }
            long id = requests.size();
            long arrival = (long) (arrivalSeconds * NANOSECONDS_PER_SECOND);
            requests.add(
                    switch (kind) {
                        case SHORT ->
                            new SimulatedRequest(
                                    id,
                                    kind,
                                    account,
                                    phaseIndex,
                                    arrival,
                                    randomAround(phase.shortPromptTokens(), random),
                                    randomAround(phase.shortOutputTokens(), random),
                                    0,
                                    0);
                        case LONG -> longRequest(id, account, phaseIndex, arrival, random, seed);
                        case TASK ->
                            new SimulatedRequest(
                                    id,
                                    kind,
                                    account,
                                    phaseIndex,
                                    arrival,
                                    randomAround(TASK_PROMPT_TOKENS, random),
                                    randomAround(TASK_OUTPUT_TOKENS, random),
                                    0,
                                    0);
                    });
        }
    }

    private static SimulatedRequest longRequest(
            long id, int account, int phase, long arrival, Random random, long seed) {
        int document = account * DOCUMENTS_PER_ACCOUNT + random.nextInt(DOCUMENTS_PER_ACCOUNT) + 1;
        int documentTokens =
                MINIMUM_DOCUMENT_TOKENS + new Random(seed * 7_919 + document).nextInt(DOCUMENT_RANGE_TOKENS);
        return new SimulatedRequest(
                id,
                Kind.LONG,
                account,
                phase,
                arrival,
                documentTokens + randomAround(LONG_QUESTION_TOKENS, random),
                randomAround(LONG_OUTPUT_TOKENS, random),
                document,
                documentTokens);
    }

    private static int randomAround(double mean, Random random) {
        return (int) Math.max(8, mean * (0.5 + random.nextDouble()));
    }
}
