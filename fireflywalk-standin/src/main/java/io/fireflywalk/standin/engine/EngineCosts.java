package io.fireflywalk.standin.engine;

/**
 * Speed and sizes of a virtual engine.
 *
 * @param stepSeconds duration of a step without work
 * @param sequenceSeconds added to a step by each generating request
 * @param prefillTokenSeconds added to a step by each prompt token
 * @param noise relative standard deviation of a step's duration
 * @param chunkTokens prompt tokens per step beside generating requests
 * @param wholeChunkTokens prompt tokens per step when nothing generates
 * @param maximumGenerating bound of requests that generate together
 * @param prefixCacheTokens size of the prefix cache
 * @param transferSeconds fixed duration of a KV cache transfer
 * @param transferTokensPerSecond speed of a KV cache transfer
 * @param reportSeconds period of load reports
 * @param roleChangeSeconds duration of a role change
 */
public record EngineCosts(
        double stepSeconds,
        double sequenceSeconds,
        double prefillTokenSeconds,
        double noise,
        int chunkTokens,
        int wholeChunkTokens,
        int maximumGenerating,
        int prefixCacheTokens,
        double transferSeconds,
        double transferTokensPerSecond,
        double reportSeconds,
        double roleChangeSeconds) {

    /** Returns the costs of the measurements; they differ by up to a tenth from what routing assumes. */
    public static EngineCosts defaults() {
        return new EngineCosts(0.008, 0.000_23, 0.000_065, 0.05, 384, 2_048, 96, 120_000, 0.02, 180_000, 0.2, 6);
    }
}
