package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;

/**
 * Load of a target as known to this instance.
 *
 * @param target the target
 * @param requestsInFlight requests that this instance has sent to the target and that have not ended
 */
public record TargetLoad(Target target, int requestsInFlight) {}
