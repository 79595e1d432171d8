package io.fireflywalk.core.usage;

/**
 * Cumulative usage of one instance incarnation.
 *
 * @param window number of the usage window
 * @param incarnation incarnation of the instance that served
 * @param clientAccount account that was served
 * @param service service that was used
 * @param answers number of answers
 * @param promptTokens prompt tokens
 * @param generatedTokens generated tokens
 */
public record UsageRow(
        long window,
        String incarnation,
        String clientAccount,
        String service,
        long answers,
        long promptTokens,
        long generatedTokens) {

    /** Returns the sum of two rows of the same key. */
    public UsageRow plus(UsageRow other) {
        return new UsageRow(
                window,
                incarnation,
                clientAccount,
                service,
                answers + other.answers,
                promptTokens + other.promptTokens,
                generatedTokens + other.generatedTokens);
    }
}
