package io.fireflywalk.core.placement;

/**
 * Says which requests may run on preemptible targets. Stateless and thread-safe.
 *
 * <p>A call that is not idempotent never may, even if its deadline is far: its loss would leave the outcome unknown.
 * Other work may if a lost part can be resumed and the deadline leaves time for the move.
 */
public final class PreemptibleEligibility {
    private final double moveSeconds;

    public PreemptibleEligibility(double moveSeconds) {
        this.moveSeconds = moveSeconds;
    }

    /** Tells whether a request may run on a preemptible target. */
    public boolean eligible(boolean idempotent, boolean resumable, double secondsToDeadline) {
        return idempotent && resumable && secondsToDeadline > moveSeconds;
    }
}
