package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.daemon.ingress.TargetChooser.ExpectedWork;
import io.fireflywalk.daemon.ingress.TargetProtocol.TargetRequest;
import io.fireflywalk.daemon.ingress.TargetProtocol.TargetResponseHead;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * One attempt to send a request to one target. After it has failed, completed, been cancelled or been discarded, its
 * listener is not called again. Confined to one event loop.
 */
final class TargetExchange {
    private static final Logger LOG = Logger.getLogger(TargetExchange.class);
    /** Short for a caller, and long enough for the event loop to read its connections again. */
    private static final Duration PENDING_INPUT_DELAY = Duration.ofMillis(10);
    /** Largest delay added to the time for which a target wants no requests, so that instances return one by one. */
    private static final Duration HOLD_OFF_SPREAD = Duration.ofMillis(500);

    private final IngressContext context;
    private final TargetState target;
    private final String attemptIdentifier;
    private final Listener listener;
    private final long startedAt;
    private Optional<HttpClientRequest> request = Optional.empty();
    private Optional<HttpClientResponse> response = Optional.empty();
    private Optional<ResponseBatcher> batcher = Optional.empty();
    private Optional<ExpectedWork> work = Optional.empty();
    private long connection;
    private int ordinal;
    private boolean sent;
    private boolean written;
    private boolean ended;
    private boolean discarded;
    private boolean connectionLost;
    private boolean delivered;

    /** Receives the outcome of an exchange. */
    interface Listener {

        /** Called with the head of the response; must set a handler for the body. */
        void onResponse(TargetExchange exchange, TargetResponseHead head, HttpClientResponse response);

        /** Called after the exchange has failed. */
        void onFailure(TargetExchange exchange, String cause);
    }

    TargetExchange(IngressContext context, TargetState target, String attemptIdentifier, Listener listener) {
        this.context = context;
        this.target = target;
        this.attemptIdentifier = attemptIdentifier;
        this.listener = listener;
        this.startedAt = context.timers().monotonicNanoseconds();
    }

    /** Sets the work that the target is expected to have; called before the start. */
    void expect(Optional<ExpectedWork> expected) {
        work = expected;
    }

    /** Connects and sends the request. */
    void start(HttpMethod method, String uri, MultiMap callerHeaders, Buffer body, TargetRequest requestHead) {
        target.recordSent();
        work.ifPresent(expected -> context.targetChooser().recordStart(target, expected));
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(target.entry().host())
                .setPort(target.entry().port())
                .setURI(uri);
        open(options, callerHeaders, body, requestHead);
    }

    private void open(RequestOptions options, MultiMap callerHeaders, Buffer body, TargetRequest requestHead) {
        context.client().request(options).onComplete(opened -> {
            if (opened.failed()) {
                fail("connect: " + opened.cause().getMessage());
            } else if (!context.targetConnections().accepts(opened.result().connection(), attemptIdentifier)) {
                replaceConnection(opened.result(), () -> open(options, callerHeaders, body, requestHead));
            } else if (context.eventLoopMonitor().isBehind()) {
                opened.result().exceptionHandler(cause -> fail("connect: " + cause.getMessage()));
                var unused = afterPendingInput()
                        .subscribe(() -> sendUnlessEnded(opened.result(), callerHeaders, body, requestHead));
            } else {
                sendUnlessEnded(opened.result(), callerHeaders, body, requestHead);
            }
        });
    }

    /** Closes a connection that is not used, without handing it to another request, and goes on after that. */
    private void replaceConnection(HttpClientRequest unsent, Runnable next) {
        unsent.exceptionHandler(cause -> LOG.debugf("event=target_connection_replaced id=%s", attemptIdentifier));
        unsent.connection().close().onComplete(closed -> {
            if (!ended) {
                next.run();
            }
        });
    }

    /**
     * Completes once the event loop has read its connections again, because the caller may have left or the target may
     * have closed the connection. The first delay may end in the round that read the request; the second one does not.
     */
    private Completable afterPendingInput() {
        Completable delay = context.timers().after(PENDING_INPUT_DELAY);
        return delay.andThen(delay);
    }

    private void sendUnlessEnded(
            HttpClientRequest opened, MultiMap callerHeaders, Buffer body, TargetRequest requestHead) {
        if (ended) {
            opened.reset();
        } else if (!target.acceptsRequests(context.timers().monotonicNanoseconds())) {
            opened.reset();
            withdraw("the target wants no requests any more");
        } else {
            send(opened, callerHeaders, body, requestHead);
        }
    }

    private void send(HttpClientRequest opened, MultiMap callerHeaders, Buffer body, TargetRequest requestHead) {
        request = Optional.of(opened);
        context.targetProtocol().writeRequestHead(callerHeaders, opened.headers(), requestHead);
        opened.exceptionHandler(cause -> loseConnection("request: " + cause.getMessage()));
        opened.response().onComplete(result -> {
            if (ended) {
                return;
            }
            if (result.failed()) {
                loseConnection("no answer: " + result.cause().getMessage());
            } else {
                onResponseHead(result.result());
            }
        });
        sent = true;
        context.targetConnections().state(opened.connection()).ifPresent(state -> {
            connection = state.number();
            ordinal = state.requests() + 1;
        });
        if (body.length() > 0) {
            opened.putHeader("content-length", Integer.toString(body.length()));
        }
        opened.end(body).onSuccess(ignored -> {
            written = true;
            // A copy of the caller's header lines that would be kept until the response has ended.
            opened.headers().clear();
        });
    }

    private void onResponseHead(HttpClientResponse received) {
        long now = context.timers().monotonicNanoseconds();
        TargetResponseHead head = context.targetProtocol().readResponseHead(received.statusCode(), received.headers());
        // A rejection and a signed failure must name the attempt as well: they may belong to an earlier one.
        boolean mismatched = head.attemptIdentifier().isPresent()
                ? !head.attemptIdentifier().get().equals(attemptIdentifier)
                : head.success() || head.notExecuted() || head.signed();
        if (mismatched) {
            // Requests and responses on this connection no longer match, so no response on it can be trusted.
            context.metrics().count("target_responses_mismatched");
            context.metrics()
                    .logFault(
                            now,
                            () -> String.format(
                                    "event=target_response_mismatched id=%s %s status=%d response_id=%s",
                                    attemptIdentifier,
                                    formatPlace(),
                                    head.status(),
                                    head.attemptIdentifier().orElse("-")));
            fail("answer to another request");
            return;
        }
        recordAnnouncements(head, now);
        target.recordResponseStart(now);
        context.targetChooser().recordResponse(target, head, now);
        response = Optional.of(received);
        received.exceptionHandler(cause -> loseConnection("answer: " + cause.getMessage()));
        listener.onResponse(this, head, received);
    }

    /** Records what the target says of itself in the head of a response. */
    private void recordAnnouncements(TargetResponseHead head, long now) {
        if (head.leaving() && target.recordLeaving()) {
            context.metrics().count("targets_announced_leaving");
            LOG.infof(
                    "event=target_announced_leaving target=%s service=%s id=%s status=%d",
                    target.entry().identifier(), target.entry().service(), attemptIdentifier, head.status());
        }
        head.holdOff().ifPresent(stated -> {
            long spread = (long) (context.random().nextDouble() * HOLD_OFF_SPREAD.toNanos());
            target.recordHoldOff(stated.toNanos() + spread, now);
            context.metrics().count("target_hold_offs");
            LOG.infof(
                    "event=target_held_off target=%s service=%s id=%s ms=%d",
                    target.entry().identifier(),
                    target.entry().service(),
                    attemptIdentifier,
                    Duration.ofNanos(target.heldOffNanoseconds(now)).toMillis());
        });
    }

    /** Ends the exchange before anything has been sent; this does not count as a failure of the target. */
    private void withdraw(String cause) {
        if (end()) {
            context.metrics().count("requests_held_back");
            LOG.infof(
                    "event=request_held_back id=%s target=%s",
                    attemptIdentifier, target.entry().identifier());
            listener.onFailure(this, cause);
        }
    }

    /** Reads the body of the response in batches of the chunks that arrive in one turn of the event loop. */
    void readInBatches(HttpClientResponse received, Consumer<Buffer> onBatch, Runnable onEnd) {
        ResponseBatcher created = new ResponseBatcher(context.timers().scheduler(), onBatch);
        batcher = Optional.of(created);
        received.handler(created::accept);
        received.endHandler(ignored -> {
            created.flush();
            onEnd.run();
        });
        received.resume();
    }

    /** Ends the exchange after a complete response; {@code healthy} counts it as a success of the target. */
    void complete(boolean healthy) {
        if (end() && healthy) {
            target.recordSuccess();
            long now = context.timers().monotonicNanoseconds();
            work.ifPresent(expected -> context.targetChooser().recordTime(target, expected, now - startedAt, now));
            if (target.generates()) {
                context.requestQueue().recordCompletion(target.entry().service());
            }
        }
    }

    /**
     * Reads a response that nobody waits for, so that its connection can be used again, and completes the exchange. The
     * listener may send the request to another target at once, so it does not learn of a failure meanwhile: it would take
     * it for the failure of the next exchange.
     */
    void discard(HttpClientResponse unwanted, boolean healthy) {
        discarded = true;
        ResponseBodyReader.discard(unwanted, context.timers(), () -> complete(healthy), this::cancel);
    }

    /** Cancels the exchange and closes its connection. */
    void cancel() {
        if (end()) {
            request.ifPresent(HttpClientRequest::reset);
        }
    }

    /** Ends the exchange with a failure that counts against the target. */
    void fail(String cause) {
        if (end()) {
            target.recordFailure(context.timers().monotonicNanoseconds());
            request.ifPresent(HttpClientRequest::reset);
            if (discarded) {
                context.metrics().count("discarded_response_failures");
                LOG.debugf(
                        "event=discarded_response_failed id=%s target=%s cause=\"%s\"",
                        attemptIdentifier, target.entry().identifier(), cause);
            } else {
                listener.onFailure(this, cause);
            }
        }
    }

    private void loseConnection(String cause) {
        // Events that arrived whole before the loss are delivered, and tell that the target did not lose the request.
        batcher.ifPresent(ResponseBatcher::flush);
        // Resetting the request after its failure reports the loss a second time.
        connectionLost |= !ended;
        fail(cause);
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        target.recordEnd();
        work.ifPresent(expected -> context.targetChooser().recordEnd(target, expected));
        return true;
    }

    /** Pauses reading the response, for backpressure. */
    void pause() {
        response.ifPresent(HttpClientResponse::pause);
    }

    /** Resumes reading the response. */
    void resume() {
        response.ifPresent(HttpClientResponse::resume);
    }

    TargetState target() {
        return target;
    }

    /** Formats the target and the place of the request on its connection. */
    String formatPlace() {
        return String.format(
                "target=%s connection=%d ordinal=%d", target.entry().identifier(), connection, ordinal);
    }

    boolean ended() {
        return ended;
    }

    /** Records that a whole event of the response has arrived. */
    void recordDelivery() {
        delivered = true;
    }

    /** Tells whether the connection was lost after the request may have reached the target and before any whole event. */
    boolean lostUnanswered() {
        return connectionLost && sent && !delivered;
    }

    /** Tells whether the whole request has been written to the connection. */
    boolean written() {
        return written;
    }

    /** Tells whether the request may have reached the target. */
    boolean sent() {
        return sent;
    }

    long startedAt() {
        return startedAt;
    }
}
