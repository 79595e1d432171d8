package io.fireflywalk.core.routing;

/**
 * Constants of the choice of a runner.
 *
 * @param sampledCandidates candidates drawn at random from each lane for each request
 * @param homeBoundary index of the prefix length whose hash names the home
 * @param homeHitProbability assumed probability that the home holds the prefix when nothing is known
 * @param firstTokenGoalSeconds goal for the time to the first token
 * @param betweenTokensGoalSeconds goal for the time between tokens
 * @param safetyFactor part of a goal from which on the expectation counts as late
 * @param latenessWeight weight of lateness against time
 * @param disturbanceWeight weight of the delay that a prompt causes to requests that generate beside it
 * @param split true if requests may be split between runners of mixed role
 * @param minimumSplitOutput expected generated tokens below which a request is not split
 * @param prefillUtilisation wanted utilisation of the lane that computes prompts
 * @param decodeUtilisation wanted utilisation of the lane that generates
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

    /** Returns the settings that the measurements under {@code bench/results/} chose. */
    public static RoutingSettings defaults() {
        return DEFAULT;
    }

    /** Returns the same settings with requests of mixed runners split or not. */
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
