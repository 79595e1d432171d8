package io.fireflywalk.benchmark.placement;

import java.util.ArrayList;
import java.util.List;

/** Figures of a run from its requests. Immutable. */
final class TrialSummary {
    private static final int BUCKET_SECONDS = 10;
    private static final int BUCKETS_BEFORE_LOSS = 12;
    private static final int STABLE_BUCKETS = 3;
    private static final double RECOVERED = 0.95;

    private final Scenario scenario;
    private final List<TrialRequest> requests;

    TrialSummary(Scenario scenario, List<TrialRequest> requests) {
        this.scenario = scenario;
        this.requests = requests;
    }

    TrialResult result(
            String policy,
            long seed,
            int roleChanges,
            double spend,
            double movableShare,
            int streamsMoved,
            List<Integer> targets) {
        List<TrialRequest> counted = requests.stream()
                .filter(request -> request.arrival >= scenario.warmUpSeconds() * Trial.SECOND)
                .toList();
        int good = (int) counted.stream().filter(TrialRequest::good).count();
        int lost =
                (int) requests.stream().filter(request -> request.finished < 0).count();
        List<Double> fractions = goodFractions();
        return new TrialResult(
                policy,
                scenario.name(),
                seed,
                counted.size(),
                good,
                lost,
                roleChanges,
                scenario.shifts() == 0 ? 0 : roleChanges / (double) scenario.shifts(),
                spend,
                spend / Math.max(1, good),
                movableShare,
                recoverySeconds(fractions),
                streamsMoved,
                fractions,
                targets);
    }

    private List<Double> goodFractions() {
        int buckets = scenario.seconds() / BUCKET_SECONDS;
        int[] all = new int[buckets];
        int[] good = new int[buckets];
        for (TrialRequest request : requests) {
            int bucket = (int) Math.min(buckets - 1, request.arrival / Trial.SECOND / BUCKET_SECONDS);
            all[bucket]++;
            good[bucket] += request.good() ? 1 : 0;
        }
        List<Double> fractions = new ArrayList<>();
        for (int bucket = 0; bucket < buckets; bucket++) {
            fractions.add(all[bucket] == 0 ? 1.0 : good[bucket] / (double) all[bucket]);
        }
        return fractions;
    }

    private double recoverySeconds(List<Double> fractions) {
        if (scenario.zoneLossSeconds() == 0) {
            return -1;
        }
        // Starts at the notice, whose bucket already holds moved streams.
        int loss = (scenario.zoneLossSeconds() - 1) / BUCKET_SECONDS;
        double before = fractions.subList(loss - BUCKETS_BEFORE_LOSS, loss).stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(1);
        for (int bucket = loss; bucket + STABLE_BUCKETS <= fractions.size(); bucket++) {
            boolean recovered = fractions.subList(bucket, bucket + STABLE_BUCKETS).stream()
                    .allMatch(fraction -> fraction >= RECOVERED * before);
            if (recovered) {
                return Math.max(0, bucket * BUCKET_SECONDS - scenario.zoneLossSeconds());
            }
        }
        return -1;
    }
}
