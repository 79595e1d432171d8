package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The caller's side of a request: buffers the request body, writes the response and detects a disconnect. Confined to
 * one event loop.
 */
final class CallerExchange {
    /** Retry-After of refusals that no observed drain rate explains: half the period of short load peaks. */
    static final Duration RETRY_AFTER = Duration.ofMillis(1400);

    private final IngressContext context;
    private final HttpServerRequest request;
    private final long arrivedAt;
    private final CallerConnection connection;
    private final Consumer<CallerExchange> onEnd;
    private final CallerBody body;
    private final Optional<CallerConnection.Head> head;
    private Optional<Runnable> disconnectHandler = Optional.empty();
    private Runnable stopHandler = this::abort;
    private boolean finished;
    private boolean disconnected;
    private boolean lastOnConnection;
    private int unwrittenChunks;
    /** Source that is paused until the caller has read; another one may have sent what is unwritten. */
    private Optional<TargetExchange> pausedSource = Optional.empty();

    /**
     * Creates the exchange of one request.
     *
     * @param onEnd runs once, when the response has ended or the caller has disconnected
     */
    CallerExchange(
            IngressContext context,
            HttpServerRequest request,
            CallerConnection connection,
            Consumer<CallerExchange> onEnd) {
        this.context = context;
        this.request = request;
        this.connection = connection;
        this.arrivedAt = context.timers().monotonicNanoseconds();
        this.onEnd = onEnd;
        this.body = new CallerBody(context, request, connection);
        this.head = connection.startHandling();
        request.response().closeHandler(ignored -> connectionClosed());
        request.response().exceptionHandler(ignored -> connectionClosed());
    }

    /**
     * Buffers the request body, then runs {@code onComplete}, or {@code onRejected} if it is too large or has no room.
     *
     * @param timeout time from the head of the request in which it must be answered
     */
    void readBody(
            int maximumBytes,
            Optional<String> account,
            Duration timeout,
            Runnable onComplete,
            Consumer<FireflywalkException> onRejected) {
        request.exceptionHandler(ignored -> connectionClosed());
        body.read(this, maximumBytes, account, timeout, onComplete, onRejected);
    }

    /** Tells whether the body is not read because it waits for memory. */
    boolean isBodyPaused() {
        return body.isPaused();
    }

    /** Lets the body go, because no other attempt can need it. */
    void releaseBody() {
        body.release();
    }

    /** Lets the header lines go, because no other attempt can need them. */
    void releaseHead() {
        request.headers().clear();
        head.ifPresent(connection::releaseHead);
    }

    /** Reads the request body to its end without keeping it, then runs {@code onComplete}. */
    void discardBody(Runnable onComplete) {
        request.exceptionHandler(ignored -> connectionClosed());
        request.handler(ignored -> connection.recordActivity());
        request.endHandler(ignored -> {
            if (!disconnected && !finished) {
                connection.startAnswer();
                onComplete.run();
            }
        });
    }

    /** Sets the handler that runs if the caller disconnects before the response has ended. */
    void onDisconnect(Runnable handler) {
        disconnectHandler = Optional.of(handler);
        if (disconnected) {
            handler.run();
        }
    }

    /** Sets the handler that must answer the request at once because the instance stops. */
    void onStop(Runnable handler) {
        stopHandler = handler;
    }

    /** Has the request answered at once, because the instance stops. */
    void stop() {
        stopHandler.run();
    }

    private void connectionClosed() {
        if (disconnected || finished) {
            return;
        }
        disconnected = true;
        body.release();
        disconnectHandler.ifPresent(Runnable::run);
        onEnd.accept(this);
    }

    HttpMethod method() {
        return request.method();
    }

    String uri() {
        return request.uri();
    }

    MultiMap headers() {
        return request.headers();
    }

    MultiMap responseHeaders() {
        return request.response().headers();
    }

    Buffer body() {
        return body.content();
    }

    long arrivedAt() {
        return arrivedAt;
    }

    /** Returns the time since the head of the request arrived. */
    Duration elapsed() {
        return Duration.ofNanos(context.timers().monotonicNanoseconds() - arrivedAt);
    }

    // Response

    /** Sends a complete response. */
    void end(int status, Buffer responseBody) {
        HttpServerResponse response = request.response();
        if (finish()) {
            response.setStatusCode(status);
            addCloseHeader();
            connection.holdResponse(responseBody.length());
            afterWriting(response.end(responseBody)
                    .onComplete(ignored -> connection.releaseResponse(responseBody.length())));
        }
    }

    /** Sets the status and headers of a streamed response, which are sent with its first chunk. */
    void startStream(int status) {
        HttpServerResponse response = request.response();
        response.setStatusCode(status).setChunked(true);
        addCloseHeader();
    }

    /**
     * Sends a chunk of a streamed response, and pauses its source while the caller does not read. Without room in the
     * memory for callers, the source goes on only once everything has been written.
     */
    void relay(Buffer chunk, TargetExchange source) {
        HttpServerResponse response = request.response();
        connection.holdResponse(chunk.length());
        unwrittenChunks++;
        response.write(chunk).onComplete(ignored -> {
            connection.releaseResponse(chunk.length());
            unwrittenChunks--;
            resumeIfRead();
        });
        if (unwrittenChunks > 0 && (response.writeQueueFull() || connection.isMemoryFull())) {
            pausedSource = Optional.of(source);
            source.pause();
            response.drainHandler(ignored -> resumeIfRead());
        }
    }

    private void resumeIfRead() {
        if (pausedSource.isEmpty() || finished || disconnected) {
            return;
        }
        boolean read = unwrittenChunks == 0
                || (!connection.isMemoryFull() && !request.response().writeQueueFull());
        if (read) {
            // Cleared first, because the source may deliver at once and be paused again.
            TargetExchange source = pausedSource.get();
            pausedSource = Optional.empty();
            source.resume();
        }
    }

    /** Ends a streamed response as complete. */
    void endStream() {
        if (finish()) {
            afterWriting(request.response().end());
        }
    }

    /** Closes the connection, so that the caller can tell that a started response is incomplete. */
    void abort() {
        if (finish()) {
            request.connection().close();
        }
    }

    /** Sends an error response and closes the connection. */
    void sendErrorAndClose(FireflywalkException cause) {
        lastOnConnection = true;
        sendError(cause);
    }

    /** Sends an error response with the default time after which a request that did not run may be sent again. */
    void sendError(FireflywalkException cause) {
        sendError(cause, Optional.empty());
    }

    /** Sends an error response. */
    void sendError(FireflywalkException cause, Optional<Duration> retryAfter) {
        if (!finish()) {
            return;
        }
        HttpServerResponse response = request.response();
        response.setStatusCode(cause.kind().httpStatus());
        response.putHeader("content-type", "application/json");
        if (cause.kind().statesRetryAfter()) {
            Duration delay = retryAfter.orElse(RETRY_AFTER);
            context.callerProtocol().setRetryAfter(response.headers(), delay);
            context.metrics().retryAfter(delay);
        }
        addCloseHeader();
        JsonObject error = new JsonObject()
                .put("code", cause.kind().code())
                .put("message", cause.detail())
                .put("run_state", cause.runState().name())
                .put("retryable", cause.kind().retryable());
        afterWriting(response.end(new JsonObject().put("error", error).toBuffer()));
    }

    private boolean finish() {
        if (finished || disconnected) {
            return false;
        }
        finished = true;
        body.release();
        connection.startWriting();
        onEnd.accept(this);
        return true;
    }

    private boolean closesConnection() {
        return lastOnConnection || context.draining().getAsBoolean();
    }

    private void addCloseHeader() {
        if (closesConnection()) {
            request.response().putHeader("connection", "close");
        }
    }

    /** Closes the connection if the response is the last one on it; the HTTP server keeps it open despite {@code connection: close}. */
    private void afterWriting(Future<Void> written) {
        written.onComplete(ignored -> {
            connection.endWriting();
            if (closesConnection()) {
                request.connection().close();
            }
        });
    }
}
