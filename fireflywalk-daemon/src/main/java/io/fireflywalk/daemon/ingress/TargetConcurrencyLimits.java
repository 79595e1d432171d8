package io.fireflywalk.daemon.ingress;

/** Limits of concurrent requests to a target. */
@FunctionalInterface
interface TargetConcurrencyLimits {

    /** Returns the number of concurrent requests that this instance may send to one target of the service. */
    int requestsPerTarget(String service);
}
