package io.fireflywalk.core.ingress;

import java.util.Optional;

/**
 * What the configuration tells of a service.
 *
 * @param name unique name
 * @param maximumConnections connections that one target accepts from all callers together; 0 if not stated
 * @param engine properties of the model engine; empty for a plain service
 */
public record ServiceProfile(String name, int maximumConnections, Optional<EngineProfile> engine) {

    /**
     * Properties of a model engine.
     *
     * @param slots requests that run at once
     * @param cacheTokens tokens that fit into the KV cache
     */
    public record EngineProfile(int slots, int cacheTokens) {}
}
