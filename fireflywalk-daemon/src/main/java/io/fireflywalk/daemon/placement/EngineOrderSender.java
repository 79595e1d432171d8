package io.fireflywalk.daemon.placement;

import io.fireflywalk.core.placement.PlacementDecision;
import io.reactivex.rxjava3.core.Completable;

/** Records a decision about a runner durably and sends what it asks for: drain, serve again, order, return. */
@FunctionalInterface
public interface EngineOrderSender {

    /** Completes when the decision is recorded; a recorded order is repeated by the sender until its outcome is known. */
    Completable send(PlacementDecision decision, long fencingToken);
}
