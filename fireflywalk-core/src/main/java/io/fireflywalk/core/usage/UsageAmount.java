package io.fireflywalk.core.usage;

/**
 * Usage totals.
 *
 * @param answers number of responses
 * @param promptTokens number of prompt tokens
 * @param generatedTokens number of generated tokens
 */
public record UsageAmount(long answers, long promptTokens, long generatedTokens) {
    public static final UsageAmount ZERO = new UsageAmount(0, 0, 0);

    /** Returns the sum. */
    public UsageAmount plus(UsageAmount other) {
        return new UsageAmount(
                answers + other.answers, promptTokens + other.promptTokens, generatedTokens + other.generatedTokens);
    }

    /** Returns the larger value of each field. */
    public UsageAmount maximum(UsageAmount other) {
        return new UsageAmount(
                Math.max(answers, other.answers),
                Math.max(promptTokens, other.promptTokens),
                Math.max(generatedTokens, other.generatedTokens));
    }

    /** Returns the difference to the other amount, with a minimum of 0 in each field. */
    public UsageAmount excessOver(UsageAmount other) {
        return new UsageAmount(
                Math.max(0, answers - other.answers),
                Math.max(0, promptTokens - other.promptTokens),
                Math.max(0, generatedTokens - other.generatedTokens));
    }
}
