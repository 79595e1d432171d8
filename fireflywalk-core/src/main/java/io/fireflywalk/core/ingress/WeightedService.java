package io.fireflywalk.core.ingress;

/** A service that receives a share of a route's requests in proportion to its weight. */
public record WeightedService(String service, double weight) {}
