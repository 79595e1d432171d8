package io.fireflywalk.core.request;

/**
 * State of one attempt. Immutable. The phase only moves towards "may have run", except that a refusal, which the target
 * itself states, proves that a sent request was not run.
 *
 * @param phase how far the attempt has come
 * @param open true until the attempt has ended
 */
public record AttemptState(AttemptPhase phase, boolean open) {
    private static final AttemptState INITIAL = new AttemptState(AttemptPhase.NOT_SENT, true);

    /** Returns the state of an attempt that has not begun to write. */
    public static AttemptState initial() {
        return INITIAL;
    }

    /** Returns the state after the event. */
    public AttemptState on(AttemptEvent event) {
        return switch (event) {
            case WRITE_STARTED -> phase == AttemptPhase.NOT_SENT ? with(AttemptPhase.MAYBE_SENT) : this;
            // A refusal of an attempt that has ended may belong to another request and proves nothing.
            case REFUSED -> open && phase == AttemptPhase.MAYBE_SENT ? with(AttemptPhase.REFUSED) : this;
            case ANSWERED -> with(AttemptPhase.ANSWERED);
            case ENDED -> new AttemptState(phase, false);
        };
    }

    /** Tells whether it is certain, now and later, that the target does not run the request. */
    public boolean provablyNotRun() {
        return phase == AttemptPhase.REFUSED || (phase == AttemptPhase.NOT_SENT && !open);
    }

    private AttemptState with(AttemptPhase newPhase) {
        return new AttemptState(newPhase, open);
    }
}
