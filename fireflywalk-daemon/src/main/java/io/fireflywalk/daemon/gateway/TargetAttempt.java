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
 * One attempt to have a target answer a request: connects, lets its owner write, and watches the progress of the answer.
 * After it has failed or was abandoned its owner hears nothing more of it. Confined to one event loop.
 */
final class TargetAttempt {
    private final GatewayContext context;
    private final Target target;
    private final int index;
    private final boolean cancellable;
    private final Owner owner;
    private final String attemptId = UUID.randomUUID().toString();
    private final ProgressTimer timer;
    private Optional<HttpClientRequest> request = Optional.empty();
    private String waitingFor = "connection";
    private boolean sent;
    private boolean bodyBegun;
    private Optional<AttemptLoadTracker> runner = Optional.empty();
    private boolean ended;

    /** What the owner of an attempt does at each step. */
    interface Owner {
        /** Returns false if the request must not be written. */
        boolean maySend(TargetAttempt attempt);

        /** Writes the request. */
        void write(TargetAttempt attempt, HttpClientRequest request);

        /** Takes the answer, paused. */
        void answered(TargetAttempt attempt, HttpClientResponse response);

        /** Takes the failure of the attempt, which has ended. */
        void failed(TargetAttempt attempt, FireflywalkException cause);
    }

    TargetAttempt(GatewayContext context, Target target, int index, boolean cancellable, Owner owner) {
        this.context = context;
        this.target = target;
        this.index = index;
        this.cancellable = cancellable;
        this.owner = owner;
        this.timer = new ProgressTimer(context.timers(), this::silent);
    }

    /** Connects and lets the owner write; the head of the answer must come within the limit after the write. */
    void start(HttpMethod method, String uri, boolean idempotent, Duration headLimit) {
        timer.start(Duration.ofMillis(context.settings().targets().connectMilliseconds()));
        context.connections()
                .open(target, method, uri, idempotent)
                .onSuccess(opened -> connected(opened, headLimit))
                .onFailure(cause -> fail(ErrorKind.TARGET_FAILED, "no connection to the target", cause));
    }

    /** Tells the load estimates of the runner how the attempt goes. */
    void observe(AttemptLoadTracker observer) {
        runner = Optional.of(observer);
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

    /** Tells whether the first byte may have left. */
    boolean sent() {
        return sent;
    }

    boolean ended() {
        return ended;
    }

    /** Notes progress of the request or the answer. */
    void progress() {
        timer.progress();
        if (bodyBegun) {
            runner.ifPresent(AttemptLoadTracker::progressed);
        }
    }

    /** Watches the gaps of the answer's body from now on. */
    void bodyBegun() {
        bodyBegun = true;
        runner.ifPresent(AttemptLoadTracker::progressed);
        waitingFor = "more of the answer";
        timer.start(Duration.ofMillis(context.settings().targets().gapMilliseconds()));
    }

    /** Does not count time during which the caller takes nothing. */
    void waitForCaller() {
        timer.suspend();
    }

    /** Counts time again. */
    void continueAfterCaller() {
        timer.resume();
    }

    /** Ends the attempt after a complete answer; its connection may be used again. */
    void complete() {
        ended = true;
        runner.ifPresent(AttemptLoadTracker::ended);
        timer.stop();
        request.ifPresent(opened -> context.connections().answered(opened.connection()));
    }

    /** Ends the attempt whose answer is complete but for the end of its body; closes the connection if that is late. */
    void completeAtEndOf(HttpClientResponse response) {
        complete();
        ProgressTimer lateEnd = new ProgressTimer(context.timers(), () -> request.ifPresent(HttpClientRequest::reset));
        lateEnd.start(Duration.ofMillis(context.settings().targets().gapMilliseconds()));
        response.handler(ignored -> {});
        response.exceptionHandler(ignored -> lateEnd.stop());
        response.endHandler(ignored -> lateEnd.stop());
    }

    /** Ends the attempt after a complete answer whose connection must not be used again, or before its end. */
    void abandon() {
        if (ended) {
            return;
        }
        ended = true;
        runner.ifPresent(AttemptLoadTracker::ended);
        timer.stop();
        request.ifPresent(HttpClientRequest::reset);
        if (sent && cancellable) {
            context.metrics().cancellation();
            context.connections().cancel(target, attemptId);
        }
    }

    /** Ends the attempt with a failure and tells the owner. */
    void fail(ErrorKind kind, String detail, Throwable cause) {
        if (ended) {
            return;
        }
        if (kind != ErrorKind.TARGET_REFUSED) {
            runner.ifPresent(AttemptLoadTracker::failed);
        }
        abandon();
        owner.failed(this, new FireflywalkException(kind, detail, "target " + target.name(), cause));
    }

    private void connected(HttpClientRequest opened, Duration headLimit) {
        if (ended || !owner.maySend(this)) {
            // Nothing has been written, so the target does not know of the request.
            opened.reset();
            return;
        }
        request = Optional.of(opened);
        sent = true;
        waitingFor = "the head of the answer";
        timer.start(headLimit);
        opened.response()
                .onSuccess(this::headArrived)
                .onFailure(cause -> fail(ErrorKind.TARGET_FAILED, "the target did not answer", cause));
        opened.exceptionHandler(cause -> fail(ErrorKind.TARGET_FAILED, "the connection broke", cause));
        owner.write(this, opened);
    }

    private void headArrived(HttpClientResponse response) {
        if (ended) {
            return;
        }
        waitingFor = "the first byte of the answer";
        timer.start(Duration.ofMillis(context.settings().targets().firstByteMilliseconds()));
        response.exceptionHandler(cause -> fail(ErrorKind.ANSWER_TRUNCATED, "the answer ended before its end", cause));
        owner.answered(this, response);
    }

    private void silent() {
        fail(ErrorKind.TARGET_SILENT, "the target was silent while waiting for " + waitingFor, null);
    }
}
