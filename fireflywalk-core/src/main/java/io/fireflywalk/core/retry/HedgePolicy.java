package io.fireflywalk.core.retry;

/**
 * Decides which requests may get a second attempt while the first is still open.
 *
 * @param enabled false if no request is hedged
 * @param maximumBodyBytes largest body of a short request
 * @param maximumTokens largest bound of generated tokens of a short request
 */
public record HedgePolicy(boolean enabled, int maximumBodyBytes, int maximumTokens) {

    /** Tells whether the request is idempotent and short enough. */
    public boolean allows(boolean idempotent, int bodyBytes, int tokens) {
        return enabled && idempotent && bodyBytes <= maximumBodyBytes && tokens > 0 && tokens <= maximumTokens;
    }
}
