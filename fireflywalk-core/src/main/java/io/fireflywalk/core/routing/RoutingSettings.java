package io.fireflywalk.core.routing;

/**
 * Constants of the choice of a runner.
 *
 * @param sampledCandidates candidates drawn at random for each request
 * @param homes targets that a long prompt's prefix hash names
 * @param homeBoundary index of the prefix length whose hash names the home
 * @param homeHitProbability assumed probability that the home holds the prefix when nothing is known
 * @param searchedTargets pool size up to which known holders of a prefix are looked up by name
 * @param firstTokenGoalSeconds goal for the time to the first token
 * @param betweenTokensGoalSeconds goal for the time between tokens
 * @param safetyFactor part of a goal from which on the expectation counts as late
 * @param latenessWeight weight of lateness against time
 * @param disturbanceWeight weight of the delay that a long prompt causes to others
 * @param split true if requests may be split between runners of mixed role
 */
public record RoutingSettings(
        int sampledCandidates,
        int homes,
        int homeBoundary,
        double homeHitProbability,
        int searchedTargets,
        double firstTokenGoalSeconds,
        double betweenTokensGoalSeconds,
        double safetyFactor,
        double latenessWeight,
        double disturbanceWeight,
        boolean split) {
    private static final RoutingSettings DEFAULT =
            new RoutingSettings(4, 2, 6, 0.5, 64, 0.87, 0.039, 0.8, 5, 0.2, true);

    /** Returns the settings that the measurements under {@code bench/results/} chose. */
    public static RoutingSettings defaults() {
        return DEFAULT;
    }

    /** Returns the same settings with requests of mixed runners split or not. */
    public RoutingSettings withSplit(boolean newSplit) {
        return new RoutingSettings(
                sampledCandidates,
                homes,
                homeBoundary,
                homeHitProbability,
                searchedTargets,
                firstTokenGoalSeconds,
                betweenTokensGoalSeconds,
                safetyFactor,
                latenessWeight,
                disturbanceWeight,
                newSplit);
    }
}
