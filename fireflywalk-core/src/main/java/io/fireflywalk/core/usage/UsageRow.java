package io.fireflywalk.core.usage;

/**
 * Cumulative usage of one key. Its amounts never decrease, so two versions are merged by maximum.
 *
 * @param key key of the row
 * @param amount usage since the start of the window
 */
public record UsageRow(UsageKey key, UsageAmount amount) {}
