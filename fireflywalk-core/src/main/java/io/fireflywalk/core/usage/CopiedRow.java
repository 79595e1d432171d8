package io.fireflywalk.core.usage;

/**
 * Version of a usage row that its owner sends to peers.
 *
 * @param row the row
 * @param sequence owner's sequence number of the row's last change
 */
public record CopiedRow(UsageRow row, long sequence) {}
