package io.fireflywalk.core.routing;

/**
 * Prior knowledge of how fast a runner is. Each instance corrects it per runner by the first-token times that it sees.
 *
 * @param stepSeconds duration of a step without work
 * @param sequenceSeconds added to a step by each generating request
 * @param prefillTokenSeconds added to a step by each prompt token
 * @param chunkTokens prompt tokens per step beside generating requests
 * @param wholeChunkTokens prompt tokens per step when nothing generates
 * @param transferTokensPerSecond speed of a KV cache transfer between runners
 * @param transferSeconds fixed duration of a KV cache transfer
 * @param prefixCacheTokens size of the prefix cache
 */
public record RunnerProfile(
        double stepSeconds,
        double sequenceSeconds,
        double prefillTokenSeconds,
        int chunkTokens,
        int wholeChunkTokens,
        double transferTokensPerSecond,
        double transferSeconds,
        long prefixCacheTokens) {
    private static final RunnerProfile DEFAULT =
            new RunnerProfile(0.008, 0.000_25, 0.000_06, 384, 2_048, 200_000, 0.02, 120_000);

    /** Returns the profile that is assumed until measurements of a model exist. */
    public static RunnerProfile defaults() {
        return DEFAULT;
    }

    /** Returns the expected duration of a step. */
    public double step(double generating, double prefillTokens) {
        return stepSeconds + sequenceSeconds * generating + prefillTokenSeconds * prefillTokens;
    }

    /** Returns the expected speed of prompt computation beside generating requests. */
    public double prefillTokensPerSecond(double generating) {
        int chunk = generating < 1 ? wholeChunkTokens : chunkTokens;
        return chunk / step(generating, chunk);
    }

    /** Returns the expected duration of a KV cache transfer. */
    public double transfer(long tokens) {
        return transferSeconds + tokens / transferTokensPerSecond;
    }

    /** Returns how many requests can generate together within the time between tokens, without prompts. */
    public double generatingWithin(double betweenTokensSeconds) {
        return (betweenTokensSeconds - stepSeconds) / sequenceSeconds;
    }
}
