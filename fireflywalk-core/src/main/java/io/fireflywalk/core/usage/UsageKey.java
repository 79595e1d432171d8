package io.fireflywalk.core.usage;

import io.fireflywalk.core.configuration.TargetCharge;

/**
 * Key of a cumulative usage row.
 *
 * @param window number of the usage window in which the responses ended
 * @param incarnation incarnation of the instance that served the requests
 * @param clientAccount account that was served
 * @param service service that was used
 * @param charge how the platform charges for the target that served the requests
 */
public record UsageKey(long window, String incarnation, String clientAccount, String service, TargetCharge charge) {

    /** Returns a copy with another window. */
    public UsageKey inWindow(long otherWindow) {
        return new UsageKey(otherWindow, incarnation, clientAccount, service, charge);
    }
}
