package io.fireflywalk.core.placement;

import java.util.Set;

/**
 * What the deciding process holds the leases for; nothing is decided outside it.
 *
 * @param changes whether it may change runners of the pool
 * @param orderZones zones whose target orders it may send
 */
public record PlacementScope(boolean changes, Set<String> orderZones) {

    public PlacementScope {
        orderZones = Set.copyOf(orderZones);
    }
}
