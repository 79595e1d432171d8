package io.fireflywalk.core.request;

import io.fireflywalk.core.error.RunState;
import java.util.ArrayList;
import java.util.List;

/**
 * Progress of all attempts of one request, several of which may be open at a time. Immutable.
 *
 * @param attempts states of the attempts in the order of their start
 */
public record RequestProgress(List<AttemptState> attempts) {
    private static final RequestProgress INITIAL = new RequestProgress(List.of());

    public RequestProgress {
        attempts = List.copyOf(attempts);
    }

    /** Returns the progress of a request before its first attempt. */
    public static RequestProgress initial() {
        return INITIAL;
    }

    /** Returns the progress with a new attempt, whose index is the previous number of attempts. */
    public RequestProgress attemptStarted() {
        List<AttemptState> next = new ArrayList<>(attempts);
        next.add(AttemptState.initial());
        return new RequestProgress(next);
    }

    /** Returns the progress after an event of the attempt at the index. */
    public RequestProgress afterEvent(int index, AttemptEvent event) {
        AttemptState changed = attempts.get(index).afterEvent(event);
        if (changed.equals(attempts.get(index))) {
            return this;
        }
        List<AttemptState> next = new ArrayList<>(attempts);
        next.set(index, changed);
        return new RequestProgress(next);
    }

    /** Returns whether the request was run, as far as that is certain if all open attempts are abandoned now. */
    public RunState runState() {
        RunState state = RunState.NOT_RUN;
        for (AttemptState attempt : attempts) {
            if (attempt.phase() == AttemptPhase.ANSWERED) {
                return RunState.RUN;
            }
            if (attempt.phase() == AttemptPhase.MAYBE_SENT) {
                state = RunState.UNKNOWN;
            }
        }
        return state;
    }

    /**
     * Returns whether the attempt at the index may start to write the request: it is open, has not written before, and
     * cannot run a non-idempotent request a second time.
     */
    public boolean maySend(int index, boolean idempotent) {
        AttemptState attempt = attempts.get(index);
        if (!attempt.open() || attempt.phase() != AttemptPhase.NOT_SENT) {
            return false;
        }
        return idempotent || othersProvablyNotRun(index);
    }

    /** Returns whether another attempt may start, because it cannot run a non-idempotent request a second time. */
    public boolean mayStartAttempt(boolean idempotent) {
        return idempotent || othersProvablyNotRun(-1);
    }

    private boolean othersProvablyNotRun(int index) {
        for (int other = 0; other < attempts.size(); other++) {
            if (other != index && !attempts.get(other).provablyNotRun()) {
                return false;
            }
        }
        return true;
    }
}
