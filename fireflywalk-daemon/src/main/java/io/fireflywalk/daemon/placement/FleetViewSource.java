package io.fireflywalk.daemon.placement;

import io.fireflywalk.core.placement.FleetView;
import io.fireflywalk.core.placement.PendingChange;
import io.reactivex.rxjava3.core.Single;
import java.util.List;

/** Source of what is known of a model pool's fleet. */
public interface FleetViewSource {

    /** Returns the present view. */
    Single<FleetView> view();

    /** Returns the recorded changes that have not ended, for a process that has just got the lease. */
    Single<List<PendingChange>> recordedChanges();
}
