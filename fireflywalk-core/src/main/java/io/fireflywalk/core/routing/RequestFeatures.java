package io.fireflywalk.core.routing;

import java.util.Set;

/**
 * Properties of a request that runner selection uses.
 *
 * @param promptTokens estimated length of the prompt
 * @param expectedOutputTokens expected number of output tokens
 * @param priority priority at the engine; higher values are served first
 * @param deadlineSeconds time until the deadline
 * @param prefix hashes of the prompt's prefixes
 * @param excluded names of targets that must not be selected
 */
public record RequestFeatures(
        long promptTokens,
        long expectedOutputTokens,
        int priority,
        double deadlineSeconds,
        PrefixHashes prefix,
        Set<String> excluded) {
    /** Minimum length of a long prompt, which is scored by its deadline instead of its time to the first token. */
    public static final long LONG_PROMPT_TOKENS = 6_000;

    public RequestFeatures {
        excluded = Set.copyOf(excluded);
    }

    /** Returns a copy with other excluded targets. */
    public RequestFeatures withExcluded(Set<String> names) {
        return new RequestFeatures(promptTokens, expectedOutputTokens, priority, deadlineSeconds, prefix, names);
    }

    /** Returns whether the request is scored by its deadline only. */
    public boolean isLong() {
        return promptTokens >= LONG_PROMPT_TOKENS;
    }
}
