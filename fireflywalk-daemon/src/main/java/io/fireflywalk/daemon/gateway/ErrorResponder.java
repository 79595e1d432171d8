package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.error.LogLevel;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.jboss.logging.Logger;

/** Writes error responses and logs errors according to their {@link ErrorKind}. Stateless. */
public final class ErrorResponder {
    /** Header that states whether a target executed the request. */
    public static final String RUN_STATE_HEADER = "x-fireflywalk-run-state";

    /** Content type of server-sent events. */
    static final String EVENT_STREAM = "text/event-stream";

    private static final String RETRY_AFTER_SECONDS = "1";
    private static final Logger LOG = Logger.getLogger(ErrorResponder.class);

    private ErrorResponder() {}

    /** Returns the cause itself if it has an error kind, otherwise an internal error that wraps it. */
    public static FireflywalkException toFireflywalkException(Throwable cause, String location) {
        if (cause instanceof FireflywalkException known) {
            return known;
        }
        return new FireflywalkException(ErrorKind.INTERNAL, "internal error", location, cause);
    }

    /** Ends the response with the error, or with an error event if an event stream has begun. */
    public static Future<Void> respond(HttpServerResponse response, String requestId, FireflywalkException exception) {
        log(requestId, exception);
        if (response.ended() || response.closed()) {
            return Future.succeededFuture();
        }
        String body = body(requestId, exception).encode();
        if (response.headWritten()) {
            // Closes the connection without the final chunk, so that the response cannot be mistaken for complete.
            Future<Void> written = EVENT_STREAM.equals(response.headers().get("content-type"))
                    ? response.write("event: error\ndata: " + body + "\n\n")
                    : Future.succeededFuture();
            return written.transform(
                    ignored -> response.reset().otherwiseEmpty().mapEmpty());
        }
        if (exception.kind().retryable()) {
            response.putHeader("retry-after", RETRY_AFTER_SECONDS);
        }
        return response.setStatusCode(exception.kind().httpStatus())
                .putHeader("content-type", "application/json")
                .putHeader(RUN_STATE_HEADER, exception.runState().name())
                .end(body);
    }

    private static JsonObject body(String requestId, FireflywalkException exception) {
        return new JsonObject()
                .put(
                        "error",
                        new JsonObject()
                                .put("message", exception.detail())
                                .put(
                                        "type",
                                        exception.kind().httpStatus() < 500 ? "invalid_request_error" : "server_error")
                                .put("code", exception.kind().code())
                                .put("run_state", exception.runState().name())
                                .put("retryable", exception.kind().retryable())
                                .put("request_id", requestId));
    }

    /** Logs the error at the level of its kind. */
    static void log(String requestId, FireflywalkException exception) {
        LOG.logf(
                level(exception.kind().logLevel()),
                exception.kind() == ErrorKind.INTERNAL ? exception : null,
                "event=request_refused request=%s kind=%s run_state=%s detail=\"%s\"",
                requestId,
                exception.kind().code(),
                exception.runState(),
                exception.detail());
    }

    private static Logger.Level level(LogLevel level) {
        return switch (level) {
            case DEBUG -> Logger.Level.DEBUG;
            case INFO -> Logger.Level.INFO;
            case WARN -> Logger.Level.WARN;
            case ERROR -> Logger.Level.ERROR;
        };
    }
}
