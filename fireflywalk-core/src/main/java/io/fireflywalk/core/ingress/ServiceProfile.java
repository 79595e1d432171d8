package io.fireflywalk.core.ingress;

import java.util.Map;
import java.util.Optional;

/**
 * Configured properties of a service.
 *
 * @param name unique name
 * @param maximumConnections maximum number of connections that one target accepts in total; 0 if not stated
 * @param engine properties of the model engine; empty for a plain service
 * @param scaling limits and prices of targets that may be ordered; empty if none may be
 */
public record ServiceProfile(
        String name, int maximumConnections, Optional<EngineProfile> engine, Optional<ScalingProfile> scaling) {

    /**
     * Properties of a model engine.
     *
     * @param slots maximum number of concurrent requests
     * @param kvCacheTokens capacity of the KV cache in tokens
     */
    public record EngineProfile(int slots, int kvCacheTokens) {
        /** Fraction of the KV cache that is left for prompts while requests run. */
        private static final double PROMPT_CACHE_FRACTION = 0.76;

        /** Returns the tokens of the KV cache that are available to prompts. */
        public int promptCacheTokens() {
            return (int) (PROMPT_CACHE_FRACTION * kvCacheTokens);
        }
    }

    /**
     * Limits and prices of targets that may be ordered.
     *
     * @param minimumPerZone minimum number of targets in an availability zone
     * @param maximumPerZone maximum number of targets in an availability zone, including preemptible ones
     * @param preemptiblePrice price of a preemptible target as a fraction of the regular price; empty if none are
     *     offered
     * @param priceByZone price per target and second by availability zone
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
