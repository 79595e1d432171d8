package io.fireflywalk.core.quota;

/**
 * Quota of a client account.
 *
 * @param unit what is counted
 * @param amountPerSecond amount per second, greater than 0
 * @param burst amount that may be used in addition at any time
 * @param plainTokens tokens charged for a request that states no token counts
 */
public record AccountQuota(Unit unit, double amountPerSecond, double burst, long plainTokens) {

    /** What a quota counts. */
    public enum Unit {
        REQUESTS,
        TOKENS
    }

    /** Returns the amount charged for a request with the stated numbers of tokens; both are 0 if none are stated. */
    public long charge(int promptTokens, int maximumGeneratedTokens) {
        if (unit == Unit.REQUESTS) {
            return 1;
        }
        long stated = Math.max(0L, promptTokens) + Math.max(0L, maximumGeneratedTokens);
        return stated > 0 ? stated : plainTokens;
    }
}
