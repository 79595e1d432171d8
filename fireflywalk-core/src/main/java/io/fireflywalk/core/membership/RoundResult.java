package io.fireflywalk.core.membership;

/**
 * Result of a finished round.
 *
 * @param answered encoded subset of the members that answered
 * @param version highest configuration version that any of them holds
 */
public record RoundResult(String answered, long version) {}
