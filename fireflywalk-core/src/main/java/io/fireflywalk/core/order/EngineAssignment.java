package io.fireflywalk.core.order;

import java.util.List;

/**
 * What an engine is ordered to be.
 *
 * @param role role
 * @param model model
 * @param modelVersion version of the model
 * @param adapters adapters to load
 */
public record EngineAssignment(EngineRole role, String model, String modelVersion, List<String> adapters) {

    public EngineAssignment {
        adapters = List.copyOf(adapters);
    }
}
