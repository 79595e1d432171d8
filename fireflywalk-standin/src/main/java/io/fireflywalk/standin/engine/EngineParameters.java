package io.fireflywalk.standin.engine;

/**
 * Speed and capacity of a simulated engine.
 *
 * @param baseStepSeconds duration of a step without work
 * @param secondsPerSequence time that each running sequence adds to a step
 * @param secondsPerPrefillToken time that each prompt token adds to a step
 * @param stepNoise relative standard deviation of the duration of a step
 * @param mixedPrefillTokens maximum prompt tokens per step while sequences run
 * @param idlePrefillTokens maximum prompt tokens per step while no sequence runs
 * @param maximumRunningSequences maximum number of running sequences
 * @param prefixCacheTokens capacity of the prefix cache
 * @param baseTransferSeconds fixed part of the duration of a KV cache transfer
 * @param transferTokensPerSecond throughput of a KV cache transfer
 * @param reportIntervalSeconds interval between load reports
 * @param roleChangeSeconds duration of a role change
 */
public record EngineParameters(
        double baseStepSeconds,
        double secondsPerSequence,
        double secondsPerPrefillToken,
        double stepNoise,
        int mixedPrefillTokens,
        int idlePrefillTokens,
        int maximumRunningSequences,
        int prefixCacheTokens,
        double baseTransferSeconds,
        double transferTokensPerSecond,
        double reportIntervalSeconds,
        double roleChangeSeconds) {

    /** Returns the parameters used by the policy benchmarks; they differ by up to a tenth from the values routing assumes. */
    public static EngineParameters defaults() {
        return new EngineParameters(0.008, 0.000_23, 0.000_065, 0.05, 384, 2_048, 96, 120_000, 0.02, 180_000, 0.2, 6);
    }
}
