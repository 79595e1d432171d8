package io.fireflywalk.core.membership;

/**
 * Answer of a member to a heartbeat.
 *
 * @param version highest configuration version among the member and those that answered through it
 * @param answered encoded subset of the members that answered through it, itself not included
 */
public record RoundAnswer(long version, String answered) {}
