package io.fireflywalk.core.ingress;

import java.util.Map;
import java.util.Optional;

/**
 * What the configuration tells of a service.
 *
 * @param name unique name
 * @param maximumConnections connections that one target accepts from all callers together; 0 if not stated
 * @param engine properties of the model engine; empty for a plain service
 * @param scaling bounds and prices of the targets that may be ordered; empty if none may
 */
public record ServiceProfile(
        String name, int maximumConnections, Optional<EngineProfile> engine, Optional<ScalingProfile> scaling) {

    /**
     * Properties of a model engine.
     *
     * @param slots requests that run at once
     * @param cacheTokens tokens that fit into the KV cache
     */
    public record EngineProfile(int slots, int cacheTokens) {}

    /**
     * Bounds and prices of targets that may be ordered.
     *
     * @param minimumPerZone fewest targets in an availability zone
     * @param maximumPerZone most targets in an availability zone, preemptible ones included
     * @param preemptiblePrice price of a preemptible target as a part of the price of others; empty if there are none
     * @param priceByZone price of a target's second by availability zone
     */
    public record ScalingProfile(
            int minimumPerZone,
            int maximumPerZone,
            Optional<Double> preemptiblePrice,
            Map<String, Double> priceByZone) {

        public ScalingProfile {
            priceByZone = Map.copyOf(priceByZone);
        }
    }
}
