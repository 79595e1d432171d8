package io.fireflywalk.core.usage;

/**
 * Version of a usage row, as its owner sends it to peers.
 *
 * @param row the row
 * @param sequence sequence number that the owner assigned to the row's last change
 */
public record CopiedRow(UsageRow row, long sequence) {}
