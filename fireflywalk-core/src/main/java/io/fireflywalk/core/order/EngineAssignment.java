package io.fireflywalk.core.order;

import java.util.List;

/**
 * Role, model and adapters that an engine serves or is ordered to serve.
 *
 * @param role inference phases to serve
 * @param model name of the model
 * @param modelVersion version of the model
 * @param adapters adapters to load
 */
public record EngineAssignment(EngineRole role, String model, String modelVersion, List<String> adapters) {

    public EngineAssignment {
        adapters = List.copyOf(adapters);
    }
}
