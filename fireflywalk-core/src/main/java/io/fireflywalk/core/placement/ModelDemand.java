package io.fireflywalk.core.placement;

import java.util.List;

/**
 * Demand for a served model and the promises of its service.
 *
 * @param served the model
 * @param history samples at the settings' period, the oldest first and the present one last; queued work counts
 *     with the rate at which it should be worked off
 * @param minimumTargets serving runners below which no change and no release may go
 * @param zoneSpare whether the loss of one availability zone must leave enough runners
 * @param movableFraction part of the work that may be lost and resumed
 * @param deferrableFraction part of the movable work whose deadline outlasts the delivery of a replacement
 * @param weightGigabytes size of the base weights in the weight store
 * @param adapterGigabytes size of the adapter, 0 without one
 */
public record ModelDemand(
        ServedModel served,
        List<Work> history,
        int minimumTargets,
        boolean zoneSpare,
        double movableFraction,
        double deferrableFraction,
        double weightGigabytes,
        double adapterGigabytes) {

    public ModelDemand {
        history = List.copyOf(history);
    }

    /** Returns the present work, none if there is no sample. */
    public Work present() {
        return history.isEmpty() ? new Work(0, 0) : history.get(history.size() - 1);
    }

    /** Returns what a runner that serves another model has to read from the weight store. */
    public double loadGigabytes(ServedModel from) {
        if (from.equals(served)) {
            return 0;
        }
        return from.sharesWeightsWith(served) ? adapterGigabytes : weightGigabytes + adapterGigabytes;
    }
}
