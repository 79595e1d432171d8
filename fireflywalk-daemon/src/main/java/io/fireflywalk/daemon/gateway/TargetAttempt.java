package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.routing.AttemptLoadTracker;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;

/**
 * One attempt to send a request to a target: connects, lets its listener write the request, and enforces the time-outs
 * of the response. After it has failed or been abandoned the listener is not called again. Confined to one event loop.
 */
final class TargetAttempt {
    private final GatewayContext context;
    private final Target target;
    private final int index;
    private final boolean cancellable;
    private final Listener listener;
    private final String attemptId = UUID.randomUUID().toString();
    private boolean connectionCarriedOthers;
    private final IdleTimer timer;
    private Optional<HttpClientRequest> request = Optional.empty();
    private String waitingFor = "connection";
    private boolean requestSent;
    private boolean bodyStarted;
    private Optional<AttemptLoadTracker> loadTracker = Optional.empty();
    private boolean ended;

    /** Receives the events of an attempt. */
    interface Listener {
        /** Returns whether the request may be written to the connection. */
        boolean maySend(TargetAttempt attempt);

        void writeRequest(TargetAttempt attempt, HttpClientRequest request);

        /** Handles the response, whose body is paused. */
        void responseReceived(TargetAttempt attempt, HttpClientResponse response);

        /** Handles the failure of the attempt, which has ended. */
        void attemptFailed(TargetAttempt attempt, FireflywalkException cause);
    }

    TargetAttempt(GatewayContext context, Target target, int index, boolean cancellable, Listener listener) {
        this.context = context;
        this.target = target;
        this.index = index;
        this.cancellable = cancellable;
        this.listener = listener;
        this.timer = new IdleTimer(context.timers(), this::timedOut);
    }

    /** Connects and has the request written; the time-out of the response headers starts before the write. */
    void start(HttpMethod method, String uri, boolean idempotent, Duration headerTimeout) {
        timer.start(Duration.ofMillis(context.settings().targets().connectMilliseconds()));
        context.connections()
                .open(target, method, uri, idempotent, context.connections().reuses(target, cancellable))
                .onSuccess(openedRequest -> connected(openedRequest, headerTimeout))
                .onFailure(cause -> fail(ErrorKind.TARGET_FAILED, "no connection to the target", cause));
    }

    /** Registers the tracker that reports the course of the attempt to the load estimates. */
    void trackLoad(AttemptLoadTracker tracker) {
        loadTracker = Optional.of(tracker);
    }

    Target target() {
        return target;
    }

    int index() {
        return index;
    }

    String attemptId() {
        return attemptId;
    }

    /** Returns whether the connection has carried other requests, so that a response must name this attempt. */
    boolean connectionCarriedOthers() {
        return connectionCarriedOthers;
    }

    /** Returns whether any byte of the request may have been sent. */
    boolean requestSent() {
        return requestSent;
    }

    boolean ended() {
        return ended;
    }

    /** Records progress of the request or the response. */
    void progress() {
        timer.progress();
        if (bodyStarted) {
            loadTracker.ifPresent(AttemptLoadTracker::progressed);
        }
    }

    /** Starts the time-out between two chunks of the response body. */
    void bodyStarted() {
        bodyStarted = true;
        loadTracker.ifPresent(AttemptLoadTracker::progressed);
        waitingFor = "more of the answer";
        timer.start(Duration.ofMillis(context.settings().targets().gapMilliseconds()));
    }

    /** Suspends the time-out while the caller does not read. */
    void suspendTimer() {
        timer.suspend();
    }

    /** Resumes the time-out. */
    void resumeTimer() {
        timer.resume();
    }

    /** Ends the attempt after a complete response; its connection may be reused. */
    void complete() {
        ended = true;
        loadTracker.ifPresent(AttemptLoadTracker::ended);
        timer.stop();
        request.ifPresent(openedRequest -> context.connections().becameIdle(openedRequest.connection()));
    }

    /**
     * Ends the attempt before the end of the body has been read; closes the connection if that end does not follow in
     * time.
     */
    void completeAndDrain(HttpClientResponse response) {
        complete();
        IdleTimer drainTimer = new IdleTimer(context.timers(), () -> request.ifPresent(HttpClientRequest::reset));
        drainTimer.start(Duration.ofMillis(context.settings().targets().gapMilliseconds()));
        response.handler(ignored -> {});
        response.exceptionHandler(ignored -> drainTimer.stop());
        response.endHandler(ignored -> drainTimer.stop());
    }

    /** Ends the attempt and its connection, and cancels the request at an engine that may have received it. */
    void abandon() {
        if (ended) {
            return;
        }
        ended = true;
        loadTracker.ifPresent(AttemptLoadTracker::ended);
        timer.stop();
        request.ifPresent(HttpClientRequest::reset);
        if (requestSent && cancellable) {
            context.metrics().countCancellation();
            context.connections().cancel(target, attemptId);
        }
    }

    /** Ends the attempt with a failure and notifies the listener. */
    void fail(ErrorKind kind, String detail, Throwable cause) {
        if (ended) {
            return;
        }
        if (kind != ErrorKind.TARGET_REFUSED) {
            loadTracker.ifPresent(AttemptLoadTracker::failed);
        }
        abandon();
        listener.attemptFailed(this, new FireflywalkException(kind, detail, "target " + target.name(), cause));
    }

    private void connected(HttpClientRequest openedRequest, Duration headerTimeout) {
        if (ended || !listener.maySend(this)) {
            // Nothing has been written, so the target has not received the request.
            openedRequest.reset();
            return;
        }
        request = Optional.of(openedRequest);
        requestSent = true;
        connectionCarriedOthers = context.connections().carriedRequests(openedRequest.connection());
        waitingFor = "the head of the answer";
        timer.start(headerTimeout);
        openedRequest
                .response()
                .onSuccess(this::headersReceived)
                .onFailure(cause -> fail(ErrorKind.TARGET_FAILED, "the target did not answer", cause));
        openedRequest.exceptionHandler(cause -> fail(ErrorKind.TARGET_FAILED, "the connection broke", cause));
        listener.writeRequest(this, openedRequest);
    }

    private void headersReceived(HttpClientResponse response) {
        if (ended) {
            return;
        }
        waitingFor = "the first byte of the answer";
        timer.start(Duration.ofMillis(context.settings().targets().firstByteMilliseconds()));
        response.exceptionHandler(cause -> fail(ErrorKind.ANSWER_TRUNCATED, "the answer ended before its end", cause));
        listener.responseReceived(this, response);
    }

    private void timedOut() {
        fail(ErrorKind.TARGET_SILENT, "the target was silent while waiting for " + waitingFor, null);
    }
}
