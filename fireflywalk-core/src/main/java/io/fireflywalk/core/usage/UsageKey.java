package io.fireflywalk.core.usage;

import io.fireflywalk.core.configuration.TargetCharge;

/**
 * Key of a cumulative usage row.
 *
 * @param window number of the usage window in which the answers ended
 * @param incarnation incarnation of the instance that served
 * @param clientAccount account that was served
 * @param service service that was used
 * @param charge how the platform charges for the target that answered
 */
public record UsageKey(long window, String incarnation, String clientAccount, String service, TargetCharge charge) {

    /** Returns the same key in another window. */
    public UsageKey inWindow(long otherWindow) {
        return new UsageKey(otherWindow, incarnation, clientAccount, service, charge);
    }
}
