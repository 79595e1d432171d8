package io.fireflywalk.core.routing;

/**
 * Parameters of runner selection.
 *
 * @param sampledCandidates candidates sampled at random from each runner group per request
 * @param homeBoundary index of the prefix length whose hash determines the affinity runner
 * @param homeHitProbability assumed probability that the affinity runner has the prefix cached, if no runner is
 *     known to have it
 * @param firstTokenGoalSeconds goal for the time to the first token
 * @param betweenTokensGoalSeconds goal for the time between output tokens
 * @param safetyFactor fraction of a goal above which an expected time is considered late
 * @param latenessWeight weight of lateness relative to expected time in the score
 * @param disturbanceWeight weight of the delay that the prefill causes to requests that decode on the same runner
 * @param split true if prefill and decode of a request may run on different runners of mixed role
 * @param minimumSplitOutput expected output tokens below which a request is not split
 * @param prefillUtilisation desired utilisation of the prefill group
 * @param decodeUtilisation desired utilisation of the decode group
 */
public record RoutingSettings(
        int sampledCandidates,
        int homeBoundary,
        double homeHitProbability,
        double firstTokenGoalSeconds,
        double betweenTokensGoalSeconds,
        double safetyFactor,
        double latenessWeight,
        double disturbanceWeight,
        boolean split,
        int minimumSplitOutput,
        double prefillUtilisation,
        double decodeUtilisation) {
    private static final RoutingSettings DEFAULT =
            new RoutingSettings(4, 6, 0.5, 0.87, 0.039, 0.8, 5, 0.2, true, 20, 0.75, 0.95);

    /** Returns the default settings, whose benchmark results are under {@code bench/results/}. */
    public static RoutingSettings defaults() {
        return DEFAULT;
    }

    /** Returns a copy with another value of {@code split}. */
    public RoutingSettings withSplit(boolean newSplit) {
        return new RoutingSettings(
                sampledCandidates,
                homeBoundary,
                homeHitProbability,
                firstTokenGoalSeconds,
                betweenTokensGoalSeconds,
                safetyFactor,
                latenessWeight,
                disturbanceWeight,
                newSplit,
                minimumSplitOutput,
                prefillUtilisation,
                decodeUtilisation);
    }
}
