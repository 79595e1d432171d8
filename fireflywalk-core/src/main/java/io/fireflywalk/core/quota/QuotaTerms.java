package io.fireflywalk.core.quota;

import io.fireflywalk.core.quota.AccountQuota.Unit;

/**
 * What the operator allows beyond the amounts of a quota: within any sliding window, the amount used must not exceed
 * (amount per second x window + burst) x (1 + overshoot) + slack.
 *
 * @param windowSeconds length of the sliding window
 * @param overshoot fraction by which the quota may be exceeded
 * @param slackTokens tokens by which the quota may be exceeded; does not apply to quotas of requests
 */
public record QuotaTerms(double windowSeconds, double overshoot, double slackTokens) {
    /** Long prompts count about 17,000 tokens, and half of the capacity may be outstanding. */
    private static final double SMALLEST_TOKEN_POOL = 40_000;

    private static final double SMALLEST_REQUEST_POOL = 8;

    /** Returns how a quota is divided. */
    public QuotaLimits limits(AccountQuota quota) {
        double excess = overshoot * (quota.amountPerSecond() * windowSeconds + quota.burst())
                + (quota.unit() == Unit.TOKENS ? slackTokens : 0);
        return new QuotaLimits(
                quota.amountPerSecond(),
                quota.burst(),
                excess,
                windowSeconds,
                quota.unit() == Unit.TOKENS ? SMALLEST_TOKEN_POOL : SMALLEST_REQUEST_POOL);
    }
}
