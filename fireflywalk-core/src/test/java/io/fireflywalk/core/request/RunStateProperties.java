package io.fireflywalk.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.error.RunState;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/**
 * Guards against a false NOT_RUN and against a second run of a non-idempotent request, over all points at which
 * attempts can fail. The reference model below tracks which attempts may have reached the target.
 */
class RunStateProperties {

    /** Points at which an attempt fails, and whether the target may then have run the request or responded. */
    enum FailurePoint {
        CONNECT_REFUSED(false, false),
        CONNECT_TIMES_OUT(false, false),
        ABANDONED_BEFORE_WRITE(false, false),
        RESET_AT_FIRST_BYTE(true, false),
        RESET_BEFORE_HEAD(true, false),
        SILENT_BEFORE_HEAD(true, false),
        REFUSED_WITH_MARK(false, false),
        OVERLOADED_WITHOUT_MARK(true, false),
        WRONG_ATTEMPT_ID(true, false),
        TRUNCATED_AFTER_HEAD(true, true),
        COMPLETE(true, true);

        private final boolean mayRun;
        private final boolean answered;

        FailurePoint(boolean mayRun, boolean answered) {
            this.mayRun = mayRun;
            this.answered = answered;
        }

        private List<AttemptEvent> events() {
            return switch (this) {
                case CONNECT_REFUSED, CONNECT_TIMES_OUT, ABANDONED_BEFORE_WRITE -> List.of(AttemptEvent.ENDED);
                case REFUSED_WITH_MARK -> List.of(AttemptEvent.WRITE_STARTED, AttemptEvent.REFUSED, AttemptEvent.ENDED);
                case TRUNCATED_AFTER_HEAD, COMPLETE ->
                    List.of(AttemptEvent.WRITE_STARTED, AttemptEvent.ANSWERED, AttemptEvent.ENDED);
                default -> List.of(AttemptEvent.WRITE_STARTED, AttemptEvent.ENDED);
            };
        }
    }

    @Property
    void notRunIsNeverReportedOnceTargetMayHaveRequest(
            @ForAll boolean idempotent, @ForAll @Size(max = 6) List<FailurePoint> points) {
        RequestProgress progress = RequestProgress.initial();
        int possibleRuns = 0;
        boolean answered = false;
        for (FailurePoint point : points) {
            if (!progress.mayStartAttempt(idempotent)) {
                break;
            }
            int index = progress.attempts().size();
            progress = progress.attemptStarted();
            boolean writeStarted = false;
            for (AttemptEvent event : point.events()) {
                if (event == AttemptEvent.WRITE_STARTED) {
                    assertTrue(progress.maySend(index, idempotent));
                    writeStarted = true;
                }
                progress = progress.afterEvent(index, event);
                if (writeStarted && event == AttemptEvent.WRITE_STARTED) {
                    assertNotEquals(RunState.NOT_RUN, progress.runState(), "bytes of the request may be in transit");
                }
            }
            possibleRuns += point.mayRun ? 1 : 0;
            answered |= point.answered;
        }
        RunState expected = answered ? RunState.RUN : possibleRuns > 0 ? RunState.UNKNOWN : RunState.NOT_RUN;
        assertEquals(expected, progress.runState());
        assertTrue(idempotent || possibleRuns <= 1, "a non-idempotent request may have run twice");
    }

    @Property
    void nonIdempotentRequestIsNeverSentByTwoOpenAttempts(
            @ForAll @Size(max = 40) List<AttemptEvent> events, @ForAll long attemptBits) {
        RequestProgress progress = RequestProgress.initial().attemptStarted().attemptStarted();
        boolean[] mayHaveRun = new boolean[2];
        for (int step = 0; step < events.size(); step++) {
            AttemptEvent event = events.get(step);
            int index = (int) (attemptBits >>> step) & 1;
            if (event == AttemptEvent.WRITE_STARTED) {
                if (!progress.maySend(index, false)) {
                    continue;
                }
                mayHaveRun[index] = true;
            } else if (!mayHaveRun[index] && event != AttemptEvent.ENDED) {
                continue;
            }
            boolean open = progress.attempts().get(index).open();
            progress = progress.afterEvent(index, event);
            boolean answered = progress.attempts().get(index).phase() == AttemptPhase.ANSWERED;
            if (event == AttemptEvent.REFUSED && open && !answered) {
                mayHaveRun[index] = false;
            } else if (answered) {
                mayHaveRun[index] = true;
            }
            assertTrue(!(mayHaveRun[0] && mayHaveRun[1]), "both attempts may run");
            assertEquals(!(mayHaveRun[0] || mayHaveRun[1]), progress.runState() == RunState.NOT_RUN);
        }
    }
}
