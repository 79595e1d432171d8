package io.fireflywalk.core.ingress;

/**
 * Expected cost of one request at an idle target of usual speed.
 *
 * @param key route and kind of work, by which times are learned
 * @param service service that handles the request
 * @param modelMilliseconds time according to the request's size; only its ratio to other requests of the route matters
 * @param expectedMilliseconds expected time when the request arrived
 * @param prefilled true if the target has to fetch the KV cache of the whole prompt
 */
public record RequestCost(
        String key, String service, double modelMilliseconds, double expectedMilliseconds, boolean prefilled) {}
