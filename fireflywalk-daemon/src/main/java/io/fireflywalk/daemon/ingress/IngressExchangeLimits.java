package io.fireflywalk.daemon.ingress;

/** Bounds of the requests that an instance sends. */
@FunctionalInterface
interface IngressExchangeLimits {

    /** Returns the requests that this instance may have open at one target of the service. */
    int requestsPerTarget(String service);
}
