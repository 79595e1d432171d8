package io.fireflywalk.core.placement;

/**
 * A change of one runner from the decision to its end.
 *
 * @param id identifier, which also names the order to the engine
 * @param runner runner
 * @param from assignment before the change, to which a failed change returns
 * @param to intended assignment
 * @param phase progress
 * @param phaseSinceNanoseconds monotonic time at which the phase began
 * @param returnAttempts orders to return that have been sent
 */
public record PendingChange(
        String id,
        String runner,
        Assignment from,
        Assignment to,
        Phase phase,
        long phaseSinceNanoseconds,
        int returnAttempts) {

    /** Progress of a change. */
    public enum Phase {
        /** The runner finishes its requests; no order has been sent. */
        DRAINING,
        /** The order has been sent. */
        ORDERED,
        /** The order has failed and the weight-store budget does not yet allow the return. */
        ROLL_BACK_WAITING,
        /** The order to return to the earlier assignment has been sent. */
        ROLLING_BACK
    }

    /** Returns the identifier of the order that is in force in this phase. */
    public String orderId() {
        return phase == Phase.ROLLING_BACK ? id + "-return-" + returnAttempts : id;
    }

    /** Returns the change in another phase. */
    public PendingChange enter(Phase next, long now) {
        int attempts = next == Phase.ROLLING_BACK ? returnAttempts + 1 : returnAttempts;
        return new PendingChange(id, runner, from, to, next, now, attempts);
    }
}
