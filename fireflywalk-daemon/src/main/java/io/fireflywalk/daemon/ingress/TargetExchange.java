package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.daemon.ingress.TargetProtocol.TargetAnswer;
import io.fireflywalk.daemon.ingress.TargetProtocol.TargetRequest;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;

/**
 * One send of a request to one target. After it has failed, was answered or was cancelled its owner hears nothing more.
 * Confined to one event loop.
 */
final class TargetExchange {
    private final IngressContext context;
    private final TargetState target;
    private final String attemptIdentifier;
    private final Owner owner;
    private final long startedAt;
    private Optional<HttpClientRequest> request = Optional.empty();
    private Optional<HttpClientResponse> response = Optional.empty();
    private boolean sent;
    private boolean ended;

    /** What the owner of an exchange does at each step. */
    interface Owner {

        /** Takes the head of the answer; the body is delivered to the handler that it sets. */
        void answered(TargetExchange exchange, TargetAnswer answer, HttpClientResponse response);

        /** Takes the failure of the exchange, which has ended. */
        void failed(TargetExchange exchange, String cause);
    }

    TargetExchange(IngressContext context, TargetState target, String attemptIdentifier, Owner owner) {
        this.context = context;
        this.target = target;
        this.attemptIdentifier = attemptIdentifier;
        this.owner = owner;
        this.startedAt = context.timers().monotonicNanoseconds();
    }

    /** Connects and sends the whole request. */
    void start(HttpMethod method, String uri, MultiMap callerHeaders, Buffer body, TargetRequest head) {
        target.sent();
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(target.entry().host())
                .setPort(target.entry().port())
                .setURI(uri);
        context.client().request(options).onComplete(opened -> {
            if (ended) {
                if (opened.succeeded()) {
                    opened.result().reset();
                }
                return;
            }
            if (opened.failed()) {
                fail("connect: " + opened.cause().getMessage());
                return;
            }
            send(opened.result(), callerHeaders, body, head);
        });
    }

    private void send(HttpClientRequest opened, MultiMap callerHeaders, Buffer body, TargetRequest head) {
        request = Optional.of(opened);
        context.protocol().writeRequestHead(callerHeaders, opened.headers(), head);
        opened.exceptionHandler(cause -> fail("request: " + cause.getMessage()));
        opened.response().onComplete(answer -> {
            if (ended) {
                return;
            }
            if (answer.failed()) {
                fail("no answer: " + answer.cause().getMessage());
            } else {
                headArrived(answer.result());
            }
        });
        sent = true;
        if (body.length() > 0) {
            opened.putHeader("content-length", Integer.toString(body.length()));
        }
        opened.end(body);
    }

    private void headArrived(HttpClientResponse arrived) {
        long now = context.timers().monotonicNanoseconds();
        TargetAnswer answer = context.protocol().readAnswerHead(arrived.statusCode(), arrived.headers());
        boolean foreign = answer.attemptIdentifier().isPresent()
                ? !answer.attemptIdentifier().get().equals(attemptIdentifier)
                : answer.success();
        if (foreign) {
            // The connection has lost its order of requests and answers, so nothing on it can be trusted.
            fail("answer to another request");
            return;
        }
        target.answered(now);
        answer.requests().ifPresent(requests -> target.reported(requests, now));
        response = Optional.of(arrived);
        arrived.exceptionHandler(cause -> fail("answer: " + cause.getMessage()));
        owner.answered(this, answer, arrived);
    }

    /** Ends the exchange after a complete answer. */
    void complete(boolean good) {
        if (end() && good) {
            target.succeeded();
        }
    }

    /** Gives the exchange up and closes its connection. */
    void cancel() {
        if (end()) {
            request.ifPresent(HttpClientRequest::reset);
        }
    }

    /** Ends the exchange with a failure that the target caused. */
    void fail(String cause) {
        if (end()) {
            target.failed(context.timers().monotonicNanoseconds());
            request.ifPresent(HttpClientRequest::reset);
            owner.failed(this, cause);
        }
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        target.ended();
        return true;
    }

    /** Holds the answer back until the caller has taken what it got. */
    void pause() {
        response.ifPresent(HttpClientResponse::pause);
    }

    /** Continues after a pause. */
    void resume() {
        response.ifPresent(HttpClientResponse::resume);
    }

    TargetState target() {
        return target;
    }

    boolean ended() {
        return ended;
    }

    /** Tells whether the request may have reached the target. */
    boolean sent() {
        return sent;
    }

    long startedAt() {
        return startedAt;
    }
}
