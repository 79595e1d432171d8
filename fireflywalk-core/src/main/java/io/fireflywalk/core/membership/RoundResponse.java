package io.fireflywalk.core.membership;

/**
 * Response of a member to a heartbeat.
 *
 * @param version highest configuration version held by the member or by those that responded through it as a relay
 * @param answered encoded {@link MemberSubset} of the members that responded through it, excluding itself
 */
public record RoundResponse(long version, String answered) {}
