package io.fireflywalk.core.ingress;

/**
 * One process of a target.
 *
 * @param target identifier of the target, which a later process may have as well
 * @param startedAtMilliseconds start time in milliseconds since 1970-01-01T00:00Z; 0 if not stated
 */
public record TargetRun(String target, long startedAtMilliseconds) {}
