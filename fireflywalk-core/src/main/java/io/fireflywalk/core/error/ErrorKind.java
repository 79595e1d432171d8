package io.fireflywalk.core.error;

import java.util.Locale;

/**
 * Closed list of error kinds with the answer that each one gives. The run state is the default of the kind; an attempt
 * that knows better states its own in the {@link FireflywalkException}.
 */
public enum ErrorKind {
    INVALID_REQUEST(400, false, RunState.NOT_RUN, LogLevel.DEBUG, "The caller sent a malformed request."),
    INVALID_JSON(400, false, RunState.NOT_RUN, LogLevel.DEBUG, "The caller's body is not the expected JSON."),
    MISSING_KEY(401, false, RunState.NOT_RUN, LogLevel.DEBUG, "The caller sent no key on a route that needs one."),
    UNKNOWN_KEY(401, false, RunState.NOT_RUN, LogLevel.INFO, "The key is unknown or revoked."),
    OPERATOR_UNAUTHORIZED(401, false, RunState.NOT_RUN, LogLevel.WARN, "Check the operator key digests."),
    UNKNOWN_MODEL(404, false, RunState.NOT_RUN, LogLevel.DEBUG, "No service offers the model."),
    UNKNOWN_ROUTE(404, false, RunState.NOT_RUN, LogLevel.DEBUG, "No service has a route for the path."),
    METHOD_NOT_ALLOWED(405, false, RunState.NOT_RUN, LogLevel.DEBUG, "The route does not take the method."),
    SLOW_SENDER(408, true, RunState.NOT_RUN, LogLevel.INFO, "The caller stopped sending its request."),
    VERSION_CONFLICT(409, false, RunState.NOT_RUN, LogLevel.INFO, "Another operator changed the configuration first."),
    CLAIM_IN_PROGRESS(409, true, RunState.UNKNOWN, LogLevel.INFO, "The first request with this key still runs."),
    CLAIM_MISMATCH(422, false, RunState.NOT_RUN, LogLevel.INFO, "The idempotency key came with a different request."),
    OUTCOME_UNKNOWN(409, false, RunState.UNKNOWN, LogLevel.WARN, "The instance that ran the request has ended."),
    BODY_TOO_LARGE(413, false, RunState.NOT_RUN, LogLevel.DEBUG, "Raise the body limit if the request is wanted."),
    URL_TOO_LONG(414, false, RunState.NOT_RUN, LogLevel.DEBUG, "The caller's request line exceeds the limit."),
    CONFIGURATION_INVALID(422, false, RunState.NOT_RUN, LogLevel.INFO, "Correct the listed paths."),
    SHARE_EXHAUSTED(429, true, RunState.NOT_RUN, LogLevel.INFO, "The client account is over its share."),
    QUEUE_FULL(429, true, RunState.NOT_RUN, LogLevel.INFO, "The queue of the service is at its bound."),
    HEADERS_TOO_LARGE(431, false, RunState.NOT_RUN, LogLevel.DEBUG, "The caller's headers exceed the limit."),
    INTERNAL(500, false, RunState.UNKNOWN, LogLevel.ERROR, "Report the log line with its stack trace."),
    TARGET_FAILED(502, true, RunState.UNKNOWN, LogLevel.WARN, "Check the target that the log line names."),
    ANSWER_TRUNCATED(502, true, RunState.UNKNOWN, LogLevel.WARN, "The target's answer ended before its end."),
    TARGET_PROTOCOL(502, false, RunState.UNKNOWN, LogLevel.WARN, "The target broke its protocol."),
    NO_TARGET(503, true, RunState.NOT_RUN, LogLevel.WARN, "The service has no eligible target."),
    TARGET_REFUSED(503, true, RunState.NOT_RUN, LogLevel.INFO, "Every target refused the request before running it."),
    MEMORY_EXHAUSTED(503, true, RunState.NOT_RUN, LogLevel.WARN, "The body memory budget is used up."),
    CONNECTION_LIMIT(503, true, RunState.NOT_RUN, LogLevel.WARN, "The instance has too many caller connections."),
    DRAINING(503, true, RunState.NOT_RUN, LogLevel.INFO, "The instance is shutting down."),
    CONFIGURATION_STALE(503, true, RunState.NOT_RUN, LogLevel.WARN, "The instance is cut off from store and peers."),
    STORE_UNAVAILABLE(503, true, RunState.NOT_RUN, LogLevel.WARN, "The table service does not answer."),
    STORE_OUTCOME_UNKNOWN(503, true, RunState.UNKNOWN, LogLevel.WARN, "A transaction's outcome is not known yet."),
    ACKNOWLEDGEMENT_PENDING(
            504, false, RunState.UNKNOWN, LogLevel.WARN, "The change is durable; some instances may not hold it yet."),
    AUTHORITY_LOST(503, true, RunState.NOT_RUN, LogLevel.WARN, "The process no longer holds the lease."),
    ORDER_PENDING(409, true, RunState.NOT_RUN, LogLevel.INFO, "An earlier order of the receiver is not settled yet."),
    DEADLINE_UNREACHABLE(503, true, RunState.NOT_RUN, LogLevel.INFO, "The fleet cannot meet the deadline now."),
    DEADLINE_EXCEEDED(504, false, RunState.UNKNOWN, LogLevel.INFO, "The deadline passed while a target worked."),
    TARGET_SILENT(504, true, RunState.UNKNOWN, LogLevel.WARN, "The target stopped sending without closing.");

    private final int httpStatus;
    private final boolean retryable;
    private final RunState runState;
    private final LogLevel logLevel;
    private final String operatorHint;

    ErrorKind(int httpStatus, boolean retryable, RunState runState, LogLevel logLevel, String operatorHint) {
        this.httpStatus = httpStatus;
        this.retryable = retryable;
        this.runState = runState;
        this.logLevel = logLevel;
        this.operatorHint = operatorHint;
    }

    /** Returns the HTTP status of the answer. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Tells whether the same request may succeed later without a change. */
    public boolean retryable() {
        return retryable;
    }

    /** Returns the run state that holds when the attempt has not stated another. */
    public RunState runState() {
        return runState;
    }

    /** Returns the level at which the error is logged. */
    public LogLevel logLevel() {
        return logLevel;
    }

    /** Returns one sentence for the person on call. */
    public String operatorHint() {
        return operatorHint;
    }

    /** Returns the code in error bodies and log lines. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
