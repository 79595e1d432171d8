package io.fireflywalk.core.request;

/**
 * State of one attempt. Immutable. The phase only advances towards "may have run", except that an explicit refusal by
 * the target proves that a request that was sent was not run.
 *
 * @param phase progress of the attempt
 * @param open true until the attempt has ended
 */
public record AttemptState(AttemptPhase phase, boolean open) {
    private static final AttemptState INITIAL = new AttemptState(AttemptPhase.NOT_SENT, true);

    /** Returns the state of an attempt that has not started to write. */
    public static AttemptState initial() {
        return INITIAL;
    }

    /** Returns the state after the event. */
    public AttemptState afterEvent(AttemptEvent event) {
        return switch (event) {
            case WRITE_STARTED -> phase == AttemptPhase.NOT_SENT ? with(AttemptPhase.MAYBE_SENT) : this;
            // A refusal that arrives after the end of the attempt may belong to another request and is ignored.
            case REFUSED -> open && phase == AttemptPhase.MAYBE_SENT ? with(AttemptPhase.REFUSED) : this;
            case ANSWERED -> with(AttemptPhase.ANSWERED);
            case ENDED -> new AttemptState(phase, false);
        };
    }

    /** Returns whether it is certain that the target has not run the request and will not run it later. */
    public boolean provablyNotRun() {
        return phase == AttemptPhase.REFUSED || (phase == AttemptPhase.NOT_SENT && !open);
    }

    private AttemptState with(AttemptPhase newPhase) {
        return new AttemptState(newPhase, open);
    }
}
