package io.fireflywalk.core.membership;

/**
 * Result of a finished heartbeat round.
 *
 * @param answered encoded {@link MemberSubset} of the members that responded
 * @param version highest configuration version that any of them holds
 */
public record RoundResult(String answered, long version) {}
