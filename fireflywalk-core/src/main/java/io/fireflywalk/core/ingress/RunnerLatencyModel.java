package io.fireflywalk.core.ingress;

/**
 * Latency model of a model runner, from the engines' data sheet. Prefill time grows with the number of tokens and with
 * the number of attention pairs, which a token forms with each token before it.
 *
 * @param tokensPerMillisecond prompt tokens per millisecond at a prefill runner
 * @param millisecondsPerMillionPairs additional prefill time per million attention pairs
 * @param decodePrefillFactor factor by which prefill is slower at a decode runner
 * @param promptOverheadMilliseconds fixed prefill time per prompt
 * @param firstTokenMilliseconds time from the end of prefill to the first token
 * @param fetchMillisecondsPerToken transfer time of a token's KV cache from a runner in the same availability zone
 * @param transferSetupMilliseconds fixed time per transfer of a KV cache
 */
public record RunnerLatencyModel(
        double tokensPerMillisecond,
        double millisecondsPerMillionPairs,
        double decodePrefillFactor,
        double promptOverheadMilliseconds,
        double firstTokenMilliseconds,
        double fetchMillisecondsPerToken,
        double transferSetupMilliseconds) {

    /** Returns the values of the engines' data sheet, with prefill times raised by a sixth to match request logs. */
    public static RunnerLatencyModel defaults() {
        return new RunnerLatencyModel(42, 0.43, 2, 12, 16, 0.0009, 8);
    }

    /** Returns the prefill time of tokens that follow already processed ones. */
    public double prefillMilliseconds(int tokens, int precedingTokens, boolean decodeStage) {
        double pairs = (double) tokens * precedingTokens + (double) tokens * tokens / 2;
        double time =
                promptOverheadMilliseconds + tokens / tokensPerMillisecond + pairs / 1e6 * millisecondsPerMillionPairs;
        return decodeStage ? time * decodePrefillFactor : time;
    }

    /** Returns the time to fetch the KV cache of the tokens from another runner. */
    public double fetchMilliseconds(int tokens, boolean crossZone) {
        return transferSetupMilliseconds + tokens * fetchMillisecondsPerToken * (crossZone ? 2 : 1);
    }
}
