package io.fireflywalk.daemon.placement;

import io.fireflywalk.core.placement.PlacementDecision;
import io.reactivex.rxjava3.core.Completable;

/** Records a target order or release durably and sends it to the platform. */
@FunctionalInterface
public interface TargetOrderSender {

    /** Completes when the decision is recorded. */
    Completable send(PlacementDecision decision, long fencingToken);
}
