package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;
import java.util.Locale;

/**
 * Expected times of a request at one candidate.
 *
 * @param target the candidate
 * @param firstTokenSeconds expected time to the first token
 * @param betweenTokensSeconds expected time between output tokens
 * @param cachedTokens number of prompt tokens expected in the candidate's prefix cache
 * @param score value that the selection minimises, in seconds
 */
public record CandidateEstimate(
        Target target, double firstTokenSeconds, double betweenTokensSeconds, double cachedTokens, double score) {

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s:first=%.3f,between=%.4f,cached=%.0f,score=%.3f",
                target.name(),
                firstTokenSeconds,
                betweenTokensSeconds,
                cachedTokens,
                score);
    }
}
