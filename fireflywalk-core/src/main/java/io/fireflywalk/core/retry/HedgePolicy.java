package io.fireflywalk.core.retry;

/**
 * Decides which requests may be hedged, that is, get a second attempt while the first is still open.
 *
 * @param enabled false if no request may be hedged
 * @param maximumBodyBytes largest request body that may be hedged
 * @param maximumTokens largest limit of generated tokens with which a request may be hedged
 */
public record HedgePolicy(boolean enabled, int maximumBodyBytes, int maximumTokens) {

    /** Returns whether a request may be hedged; {@code tokens} is its limit of generated tokens, or 0 for none. */
    public boolean allows(boolean idempotent, int bodyBytes, int tokens) {
        return enabled && idempotent && bodyBytes <= maximumBodyBytes && tokens > 0 && tokens <= maximumTokens;
    }
}
