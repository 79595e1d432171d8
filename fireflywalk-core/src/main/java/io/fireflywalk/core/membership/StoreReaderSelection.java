package io.fireflywalk.core.membership;

import java.util.Collection;
import java.util.function.Predicate;

/**
 * Decides which instances of an availability zone read the store's tables on behalf of the others, so that the number
 * of store calls does not grow with the number of instances.
 *
 * <p>The instances of a zone are ranked by rendezvous hashing. An instance reads if it hears no instance of a higher
 * rank, so a reader that falls silent is replaced without agreement. Instances that know different members may select
 * two readers, which costs calls but is otherwise harmless. Stateless.
 */
public final class StoreReaderSelection {
    /** In smaller zones every instance reads: a relay saves few calls there and delays changes if it fails. */
    private static final int MINIMUM_ZONE_INSTANCES = 4;

    private static final String UNIT = "store-reader";

    private StoreReaderSelection() {}

    /**
     * Tells whether an instance reads the store itself.
     *
     * @param instance the deciding instance
     * @param zoneInstances the known instances of its availability zone
     * @param heard tells whether another instance has recently relayed what it read
     */
    public static boolean reads(String instance, Collection<String> zoneInstances, Predicate<String> heard) {
        if (zoneInstances.size() < MINIMUM_ZONE_INSTANCES || !zoneInstances.contains(instance)) {
            return true;
        }
        return RendezvousHashing.rankIncarnations(zoneInstances, UNIT, zoneInstances.size()).stream()
                .takeWhile(other -> !other.equals(instance))
                .noneMatch(heard);
    }
}
