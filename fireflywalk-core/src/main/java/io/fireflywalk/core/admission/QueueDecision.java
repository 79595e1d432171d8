package io.fireflywalk.core.admission;

import io.fireflywalk.core.error.ErrorKind;
import java.util.Locale;

/**
 * Decision of a request queue on one request, with its reason.
 *
 * @param outcome admitted, queued or refused
 * @param reason what decided
 * @param expectedWaitNanoseconds expected wait that decided on a queued or refused request; -1 if not known
 */
public record QueueDecision(AdmissionDecision outcome, Reason reason, long expectedWaitNanoseconds) {
    private static final long UNKNOWN = -1;

    /** Reason of a decision. */
    public enum Reason {
        /** A target has a free place. */
        PLACE_FREE,
        /** No target accepts requests, so waiting is useless and the dispatch has to tell why. */
        NO_TARGETS,
        /** All targets look full. */
        TARGETS_FULL,
        /** A request of this instance was completed, which freed its place. */
        COMPLETION,
        /** The longest useful wait has passed. */
        WAIT_OVER,
        /** The expected wait exceeds the time that is left until the deadline. */
        DEADLINE,
        /** The queue, or the account's part of it, is full. */
        QUEUE_LIMIT,
        /** The queue is full and a more urgent request has arrived. */
        DISPLACED;

        /** Returns the name that log lines and metrics contain. */
        public String code() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Returns the admission of a request. */
    public static QueueDecision admitted(long id, Reason reason) {
        return new QueueDecision(AdmissionDecision.admitted(id), reason, UNKNOWN);
    }

    static QueueDecision queued(long id, long expectedWaitNanoseconds) {
        return new QueueDecision(AdmissionDecision.queued(id), Reason.TARGETS_FULL, expectedWaitNanoseconds);
    }

    static QueueDecision refused(long id, Reason reason) {
        return refused(id, reason, UNKNOWN);
    }

    static QueueDecision refused(long id, Reason reason, long expectedWaitNanoseconds) {
        ErrorKind kind = reason == Reason.DEADLINE ? ErrorKind.DEADLINE_UNREACHABLE : ErrorKind.NO_PLACE;
        return new QueueDecision(AdmissionDecision.refused(id, kind, 0), reason, expectedWaitNanoseconds);
    }
}
