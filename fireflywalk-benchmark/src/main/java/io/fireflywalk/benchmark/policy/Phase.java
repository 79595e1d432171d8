package io.fireflywalk.benchmark.policy;

import java.util.List;

/**
 * A period of the workload with constant request rates and mean lengths.
 *
 * @param name name of the mix
 * @param seconds duration
 * @param shortRate short questions per second
 * @param shortPromptTokens mean prompt tokens of a short question
 * @param shortOutputTokens mean generated tokens of a short question
 * @param longRate long requests per second
 * @param taskRate requests per second to the service for short tasks
 */
record Phase(
        String name,
        double seconds,
        double shortRate,
        double shortPromptTokens,
        double shortOutputTokens,
        double longRate,
        double taskRate) {

    /** Returns a condensed day: the ratio of prompt to output tokens changes by half or more between phases. */
    static List<Phase> shiftingMix(Deployment deployment, double load) {
        if (deployment == Deployment.STITCHLINE) {
            return List.of(
                    new Phase("even", 60, 60 * load, 400, 100, 0.5 * load, 30 * load),
                    new Phase("morning", 60, 40 * load, 400, 100, 2 * load, 30 * load),
                    new Phase("output", 60, 40 * load, 250, 300, 0.4 * load, 30 * load),
                    new Phase("prompt", 60, 40 * load, 1_200, 80, 0.8 * load, 30 * load),
                    new Phase("even", 60, 60 * load, 400, 100, 0.5 * load, 30 * load));
        }
        return List.of(
                new Phase("even", 60, 42 * load, 600, 150, 0.3 * load, 50 * load),
                new Phase("morning", 60, 30 * load, 600, 150, 1.6 * load, 50 * load),
                new Phase("output", 60, 30 * load, 300, 400, 0.2 * load, 50 * load),
                new Phase("prompt", 60, 30 * load, 1_600, 90, 0.6 * load, 50 * load),
                new Phase("even", 60, 42 * load, 600, 150, 0.3 * load, 50 * load));
    }

    static List<Phase> constantMix(double load, double seconds) {
        return List.of(new Phase("even", seconds, 42 * load, 600, 150, 0.3 * load, 50 * load));
    }
}
