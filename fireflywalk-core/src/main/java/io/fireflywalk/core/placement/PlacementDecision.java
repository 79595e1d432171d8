package io.fireflywalk.core.placement;

/** One thing that placement wants done, with the figures that decided. */
public sealed interface PlacementDecision {

    /** A runner gets no new requests because it is about to change. */
    record StartDrain(PendingChange change, double gainRunnerSeconds, double costRunnerSeconds)
            implements PlacementDecision {}

    /** A runner that did not drain in time serves again as before; no order has been sent. */
    record CancelDrain(PendingChange change, String reason) implements PlacementDecision {}

    /** A drained runner is ordered to change. */
    record SendOrder(PendingChange change, String orderId, Assignment assignment) implements PlacementDecision {}

    /** A runner whose change failed is ordered to return to its earlier assignment. */
    record RollBack(PendingChange change, String orderId, Assignment assignment) implements PlacementDecision {}

    /** A change has ended and the runner serves again. */
    record Finish(PendingChange change, Assignment reached) implements PlacementDecision {}

    /** A change has ended without result because its runner is gone. */
    record Abandon(PendingChange change, String reason) implements PlacementDecision {}

    /** No change, order or release is started because too little is known of the fleet. */
    record Freeze(int silentRunners, int runners) implements PlacementDecision {}

    /** The streams of a runner that is about to be reclaimed resume elsewhere. */
    record MoveStreams(String runner) implements PlacementDecision {}

    /** Targets are ordered from the platform. */
    record OrderTargets(String id, TargetPool pool, int count, double need) implements PlacementDecision {}

    /** A target is drained and released. */
    record ReleaseTarget(String runner, TargetPool pool, double need) implements PlacementDecision {}
}
