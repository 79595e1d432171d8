package io.fireflywalk.core.routing;

import java.util.Set;

/**
 * What routing knows of a request.
 *
 * @param promptTokens estimated length of the prompt
 * @param expectedOutputTokens expected number of generated tokens
 * @param priority priority for the engine; higher goes first
 * @param deadlineSeconds time until the deadline
 * @param prefix digest of the prompt's beginnings
 * @param excluded names of targets that already failed this request
 */
public record RequestFeatures(
        long promptTokens,
        long expectedOutputTokens,
        int priority,
        double deadlineSeconds,
        PrefixDigest prefix,
        Set<String> excluded) {
    /** Prompts from this length on are judged by their deadline instead of their first token. */
    public static final long LONG_PROMPT_TOKENS = 6_000;

    public RequestFeatures {
        excluded = Set.copyOf(excluded);
    }

    /** Tells whether the request is judged by its deadline only. */
    public boolean isLong() {
        return promptTokens >= LONG_PROMPT_TOKENS;
    }
}
