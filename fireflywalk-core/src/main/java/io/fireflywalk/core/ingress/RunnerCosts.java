package io.fireflywalk.core.ingress;

/**
 * Times of a model runner, from the engines' data sheet. Reading grows with the tokens and with the pairs of each token
 * and those before it.
 *
 * @param tokensPerMillisecond prompt tokens that a runner of the prefill stage reads in a millisecond
 * @param millisecondsPerMillionPairs time of a million pairs of tokens
 * @param decodeFactor times as long that a runner of the decode stage takes to read
 * @param perPromptMilliseconds time that each prompt takes beside its tokens
 * @param firstMilliseconds time from the end of reading to the first token
 * @param fetchMillisecondsPerToken time to fetch the KV cache of a token from a runner in the same availability zone
 * @param handOverMilliseconds time to hand a KV cache over beside its transfer
 */
public record RunnerCosts(
        double tokensPerMillisecond,
        double millisecondsPerMillionPairs,
        double decodeFactor,
        double perPromptMilliseconds,
        double firstMilliseconds,
        double fetchMillisecondsPerToken,
        double handOverMilliseconds) {

    /** Returns the figures of the engines' data sheet, with the reading slowed by a sixth as seen in the request log. */
    public static RunnerCosts defaults() {
        return new RunnerCosts(42, 0.43, 2, 12, 16, 0.0009, 8);
    }

    /** Returns the time to read tokens that follow others. */
    public double readMilliseconds(int tokens, int tokensBefore, boolean decodeStage) {
        double pairs = (double) tokens * tokensBefore + (double) tokens * tokens / 2;
        double time = perPromptMilliseconds + tokens / tokensPerMillisecond + pairs / 1e6 * millisecondsPerMillionPairs;
        return decodeStage ? time * decodeFactor : time;
    }

    /** Returns the time to fetch the KV cache of tokens from another runner. */
    public double fetchMilliseconds(int tokens, boolean otherZone) {
        return handOverMilliseconds + tokens * fetchMillisecondsPerToken * (otherZone ? 2 : 1);
    }
}
