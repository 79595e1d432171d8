package io.fireflywalk.core.placement;

import java.util.Optional;

/**
 * A model as a pool of runners serves it.
 *
 * @param model name of the model
 * @param version version of its weights
 * @param adapter adapter on top of the weights, if any
 */
public record ServedModel(String model, String version, Optional<String> adapter) {

    /** Tells whether only the adapter differs, so that the base weights stay loaded. */
    public boolean sharesWeightsWith(ServedModel other) {
        return model.equals(other.model) && version.equals(other.version);
    }

    /** Returns model, version and adapter joined by slashes. */
    public String label() {
        return model + "/" + version + adapter.map(name -> "/" + name).orElse("");
    }
}
