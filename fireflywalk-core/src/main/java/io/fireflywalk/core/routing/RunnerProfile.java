package io.fireflywalk.core.routing;

/**
 * Assumed speed of a runner. Each instance corrects it per runner by the observed times to the first token.
 *
 * @param baseStepSeconds duration of an empty engine step
 * @param secondsPerSequence added to a step by each decoding request
 * @param secondsPerPrefillToken added to a step by each prompt token
 * @param mixedPrefillTokens prompt tokens per step while requests decode (chunked prefill)
 * @param idlePrefillTokens prompt tokens per step while no request decodes
 * @param transferTokensPerSecond throughput of a KV cache transfer between runners
 * @param baseTransferSeconds fixed overhead of a KV cache transfer
 * @param prefixCacheTokens capacity of the prefix cache
 */
public record RunnerProfile(
        double baseStepSeconds,
        double secondsPerSequence,
        double secondsPerPrefillToken,
        int mixedPrefillTokens,
        int idlePrefillTokens,
        double transferTokensPerSecond,
        double baseTransferSeconds,
        long prefixCacheTokens) {
    private static final RunnerProfile DEFAULT =
            new RunnerProfile(0.008, 0.000_25, 0.000_06, 384, 2_048, 200_000, 0.02, 120_000);

    /** Returns the profile that is assumed for a model without measurements. */
    public static RunnerProfile defaults() {
        return DEFAULT;
    }

    /** Returns the expected duration of an engine step. */
    public double expectedStepSeconds(double decodingRequests, double prefillTokens) {
        return baseStepSeconds + secondsPerSequence * decodingRequests + secondsPerPrefillToken * prefillTokens;
    }

    /** Returns the expected prefill throughput while the given number of requests decode. */
    public double prefillTokensPerSecond(double decodingRequests) {
        int chunkSize = decodingRequests < 1 ? idlePrefillTokens : mixedPrefillTokens;
        return chunkSize / expectedStepSeconds(decodingRequests, chunkSize);
    }

    /** Returns the expected duration of a KV cache transfer. */
    public double expectedTransferSeconds(long tokens) {
        return baseTransferSeconds + tokens / transferTokensPerSecond;
    }

    /** Returns how many requests can decode together within the given time between tokens, without prefill. */
    public double maximumDecodingRequests(double betweenTokensSeconds) {
        return (betweenTokensSeconds - baseStepSeconds) / secondsPerSequence;
    }
}
