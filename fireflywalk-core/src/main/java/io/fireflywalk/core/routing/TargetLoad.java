package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;

/**
 * What an instance knows of the load of a target.
 *
 * @param target the target
 * @param requestsInFlight requests that this instance sent and that have not ended
 */
public record TargetLoad(Target target, int requestsInFlight) {}
