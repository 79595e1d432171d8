package io.fireflywalk.core.usage;

/**
 * Cumulative usage of one key. Its figures only grow, so two versions merge by maximum.
 *
 * @param key key of the row
 * @param amount amounts since the start of the window
 */
public record UsageRow(UsageKey key, UsageAmount amount) {}
