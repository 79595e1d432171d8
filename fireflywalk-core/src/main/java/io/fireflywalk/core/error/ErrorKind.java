package io.fireflywalk.core.error;

import java.util.Locale;

/**
 * Error kinds, each with the properties of its response. The run state is a default, which the {@link
 * FireflywalkException} of an attempt may override with a more precise one.
 */
public enum ErrorKind {
    INVALID_REQUEST(400, false, RunState.NOT_RUN, LogLevel.DEBUG, "The caller sent a malformed request."),
    INVALID_JSON(400, false, RunState.NOT_RUN, LogLevel.DEBUG, "The caller's body is not the expected JSON."),
    MISSING_KEY(
            401, false, RunState.NOT_RUN, LogLevel.DEBUG, "The request has no API key, but the route requires one."),
    UNKNOWN_KEY(401, false, RunState.NOT_RUN, LogLevel.INFO, "The API key is unknown or revoked."),
    OPERATOR_UNAUTHORIZED(401, false, RunState.NOT_RUN, LogLevel.WARN, "Check the operator key digests."),
    UNKNOWN_MODEL(404, false, RunState.NOT_RUN, LogLevel.DEBUG, "No service offers the model."),
    UNKNOWN_ROUTE(404, false, RunState.NOT_RUN, LogLevel.DEBUG, "No service has a route for the path."),
    METHOD_NOT_ALLOWED(405, false, RunState.NOT_RUN, LogLevel.DEBUG, "The route does not accept the method."),
    SLOW_SENDER(
            408, true, RunState.NOT_RUN, LogLevel.INFO, "The caller stopped sending before the end of its request."),
    VERSION_CONFLICT(
            409,
            false,
            RunState.NOT_RUN,
            LogLevel.INFO,
            "The configuration was changed concurrently by another operator."),
    CLAIM_IN_PROGRESS(
            409,
            true,
            RunState.UNKNOWN,
            LogLevel.INFO,
            "The first request with this idempotency key is still running."),
    CLAIM_MISMATCH(
            422, false, RunState.NOT_RUN, LogLevel.INFO, "The idempotency key was used with a different request."),
    OUTCOME_UNKNOWN(
            409, false, RunState.UNKNOWN, LogLevel.WARN, "The instance that was running the request has terminated."),
    BODY_TOO_LARGE(
            413, false, RunState.NOT_RUN, LogLevel.DEBUG, "Raise the body limit if such requests should be accepted."),
    URL_TOO_LONG(414, false, RunState.NOT_RUN, LogLevel.DEBUG, "The caller's request line exceeds the limit."),
    EXPECTATION_FAILED(417, false, RunState.NOT_RUN, LogLevel.DEBUG, "The caller expects more than 100-continue."),
    CONFIGURATION_INVALID(422, false, RunState.NOT_RUN, LogLevel.INFO, "Correct the fields at the listed paths."),
    SHARE_EXHAUSTED(429, true, RunState.NOT_RUN, LogLevel.INFO, "The client account has exceeded its share."),
    QUEUE_FULL(429, true, RunState.NOT_RUN, LogLevel.INFO, "The request queue of the service is full."),
    QUOTA_EXCEEDED(429, true, RunState.NOT_RUN, LogLevel.INFO, "The client account has used up its quota."),
    HEADERS_TOO_LARGE(431, false, RunState.NOT_RUN, LogLevel.DEBUG, "The caller's headers exceed the limit."),
    INTERNAL(500, false, RunState.UNKNOWN, LogLevel.ERROR, "Report the log line with its stack trace."),
    TARGET_FAILED(502, true, RunState.UNKNOWN, LogLevel.WARN, "Check the target that the log line names."),
    ANSWER_TRUNCATED(502, true, RunState.UNKNOWN, LogLevel.WARN, "The target's response was truncated."),
    TARGET_PROTOCOL(502, false, RunState.UNKNOWN, LogLevel.WARN, "The target's response violated the protocol."),
    NO_TARGET(503, true, RunState.NOT_RUN, LogLevel.WARN, "The service has no eligible target."),
    TARGET_REFUSED(503, true, RunState.NOT_RUN, LogLevel.INFO, "Every target refused the request before running it."),
    NO_PLACE(503, true, RunState.NOT_RUN, LogLevel.INFO, "All targets of the service are full; see event=request."),
    PROMPT_QUARANTINED(
            503,
            true,
            RunState.NOT_RUN,
            LogLevel.WARN,
            "Targets ended under a part of the prompt; see event=part_quarantined and event=target_crashed."),
    MEMORY_EXHAUSTED(503, true, RunState.NOT_RUN, LogLevel.WARN, "The memory budget for request bodies is exhausted."),
    CONNECTION_LIMIT(503, true, RunState.NOT_RUN, LogLevel.WARN, "The instance has too many caller connections."),
    DRAINING(503, true, RunState.NOT_RUN, LogLevel.INFO, "The instance is shutting down."),
    CONFIGURATION_STALE(
            503,
            true,
            RunState.NOT_RUN,
            LogLevel.WARN,
            "The instance cannot confirm its configuration with the table service or its peers."),
    STORE_UNAVAILABLE(503, true, RunState.NOT_RUN, LogLevel.WARN, "The table service does not respond."),
    STORE_OUTCOME_UNKNOWN(503, true, RunState.UNKNOWN, LogLevel.WARN, "The outcome of a transaction is not known yet."),
    ACKNOWLEDGEMENT_PENDING(
            504,
            false,
            RunState.UNKNOWN,
            LogLevel.WARN,
            "The change is durable, but some instances may not have applied it yet."),
    AUTHORITY_LOST(503, true, RunState.NOT_RUN, LogLevel.WARN, "The process no longer holds the lease."),
    ORDER_PENDING(
            409, true, RunState.NOT_RUN, LogLevel.INFO, "An earlier order to the same receiver is still pending."),
    DEADLINE_UNREACHABLE(503, true, RunState.NOT_RUN, LogLevel.INFO, "The fleet cannot currently meet the deadline."),
    DEADLINE_EXCEEDED(
            504,
            false,
            RunState.UNKNOWN,
            LogLevel.INFO,
            "The deadline passed while a target was processing the request."),
    TARGET_SILENT(
            504, true, RunState.UNKNOWN, LogLevel.WARN, "The target stopped sending without closing the connection.");

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

    /** Returns the HTTP status code of the response. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Tells whether the same request may succeed when retried later. */
    public boolean retryable() {
        return retryable;
    }

    /** Tells whether the response states a time after which the caller may send the request again. */
    public boolean statesRetryAfter() {
        return retryable && runState == RunState.NOT_RUN;
    }

    /** Returns the run state of attempts that do not state a more precise one. */
    public RunState runState() {
        return runState;
    }

    /** Returns the level at which the error is logged. */
    public LogLevel logLevel() {
        return logLevel;
    }

    /** Returns a one-sentence explanation or instruction for operators. */
    public String operatorHint() {
        return operatorHint;
    }

    /** Returns the code that error bodies and log lines contain. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
