package io.fireflywalk.core.ingress;

/**
 * Times of a model runner, from the engines' data sheet. Reading grows with the tokens and with the pairs of each token
 * and those before it.
 *
 * @param tokensPerMillisecond prompt tokens that a runner of the prefill stage reads in a millisecond
 * @param millisecondsPerMillionPairs time of a million pairs of tokens
 * @param decodeFactor times as long that a runner of the decode stage takes to read
 * @param firstMilliseconds time from the end of reading to the first token
 * @param fetchMillisecondsPerToken time to fetch the KV cache of a token from a runner in the same availability zone
 * @param handOverMilliseconds time to hand a KV cache over beside its transfer
 */
public record RunnerCosts(
        double tokensPerMillisecond,
        double millisecondsPerMillionPairs,
        double decodeFactor,
        double firstMilliseconds,
        double fetchMillisecondsPerToken,
        double handOverMilliseconds) {

    /** Returns the figures of the engines' data sheet. */
    public static RunnerCosts defaults() {
        return new RunnerCosts(49.6, 0.368, 2, 16, 0.0009, 8);
    }

    /** Returns the time to read tokens that follow others. */
    public double readMilliseconds(int tokens, int tokensBefore, boolean decodeStage) {
        double pairs = (double) tokens * tokensBefore + (double) tokens * tokens / 2;
        double time = tokens / tokensPerMillisecond + pairs / 1e6 * millisecondsPerMillionPairs;
        return decodeStage ? time * decodeFactor : time;
    }

    /** Returns the time to fetch the KV cache of tokens from another runner. */
    public double fetchMilliseconds(int tokens, boolean otherZone) {
        return handOverMilliseconds + tokens * fetchMillisecondsPerToken * (otherZone ? 2 : 1);
    }
}
