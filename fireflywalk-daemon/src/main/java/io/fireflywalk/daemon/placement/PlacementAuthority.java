package io.fireflywalk.daemon.placement;

import java.util.Optional;

/** Tells which leases this instance holds; asked again immediately before each order is sent. */
public interface PlacementAuthority {

    /** Returns the fencing token if the lease for the placement of a model pool is held now. */
    Optional<Long> poolToken(String pool);

    /** Returns the fencing token if the lease for the target orders of an availability zone is held now. */
    Optional<Long> zoneToken(String availabilityZone);
}
