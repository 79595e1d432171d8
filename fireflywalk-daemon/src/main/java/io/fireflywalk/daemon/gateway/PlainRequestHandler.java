package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.Route;
import io.fireflywalk.core.configuration.RoutedService;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.error.RunState;
import io.fireflywalk.daemon.claim.ClaimDecision;
import io.fireflywalk.daemon.claim.ClaimedExchange;
import io.fireflywalk.daemon.claim.RequestDigest;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Optional;

/** Receives requests to plain services and starts their calls. Confined to one event loop. */
public final class PlainRequestHandler {
    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final int MAXIMUM_KEY_LENGTH = 255;

    private final GatewayContext context;

    public PlainRequestHandler(GatewayContext context) {
        this.context = context;
    }

    /**
     * Handles a request whose key is valid, or whose route is open to all. A small body is collected first, so that a
     * refused request can go to another target and a slow sender occupies none; a large one is streamed.
     */
    public void handle(RequestScope scope, RoutedService routed) throws FireflywalkException {
        long receivedNanoseconds = context.timers().monotonicNanoseconds();
        long length = CallerInput.declaredLength(scope.request());
        int maximumBytes = context.settings().limits().bodyBytes();
        if (length > maximumBytes) {
            throw new FireflywalkException(
                    ErrorKind.BODY_TOO_LARGE, "the body is larger than " + maximumBytes + " bytes", "request head");
        }
        Duration deadline =
                CallerInput.deadline(scope.request(), routed.service().defaultDeadlineMilliseconds());
        String uri = KeyRemover.uriWithoutKey(scope.request().uri(), scope.presentedKey());
        Optional<String> idempotencyKey = idempotencyKey(scope, routed.route());
        scope.request().pause();
        scope.response().closeHandler(ignored -> scope.ended().ended());
        context.admission()
                .admitPlain(scope.clientAccount(), routed.service().name(), deadline.toMillis())
                .onFailure(cause -> {
                    FireflywalkException known = ErrorResponder.asKnown(cause, "admission");
                    context.metrics().requestEnded(known.kind().code());
                    scope.fail(known);
                })
                .onSuccess(ignored -> {
                    long waited = context.timers().monotonicNanoseconds() - receivedNanoseconds;
                    if (!scope.response().closed()) {
                        admitted(scope, routed, uri, deadline.minusNanos(waited), idempotencyKey);
                    }
                });
    }

    private void admitted(
            RequestScope scope, RoutedService routed, String uri, Duration deadline, Optional<String> idempotencyKey) {
        long receivedNanoseconds = context.timers().monotonicNanoseconds();
        long length = CallerInput.declaredLength(scope.request());
        if (idempotencyKey.isPresent()) {
            claimAndCall(scope, routed, uri, deadline, idempotencyKey.get());
            return;
        }
        int collectedBytes = context.settings().limits().repeatableBodyBytes();
        if (length < 0 || length > collectedBytes) {
            new PlainCall(context, scope, routed, uri, deadline).begin();
            return;
        }
        BodyCollector collector = new BodyCollector(context, scope.request(), collectedBytes);
        scope.response().closeHandler(ignored -> {
            collector.release();
            scope.ended().ended();
        });
        Future<Buffer> collected = collector.collect();
        scope.request().resume();
        collected
                .onSuccess(body -> new PlainCall(
                                context,
                                scope,
                                routed,
                                uri,
                                deadline.minusNanos(context.timers().monotonicNanoseconds() - receivedNanoseconds))
                        .withBody(body, collector)
                        .begin())
                .onFailure(cause -> refuse(scope, collector, cause));
    }

    /** Returns the key of a request whose outcome is kept. A key is scoped by its account, so open routes have none. */
    private static Optional<String> idempotencyKey(RequestScope scope, Route route) throws FireflywalkException {
        String key = scope.request().getHeader(IDEMPOTENCY_KEY);
        if (key == null || route.idempotent() || scope.clientAccount().isEmpty()) {
            return Optional.empty();
        }
        if (key.isEmpty() || key.length() > MAXIMUM_KEY_LENGTH) {
            throw new FireflywalkException(
                    ErrorKind.INVALID_REQUEST, "the idempotency key must have 1 to 255 characters", "request head");
        }
        return Optional.of(key);
    }

    private void claimAndCall(RequestScope scope, RoutedService routed, String uri, Duration deadline, String key) {
        long receivedNanoseconds = context.timers().monotonicNanoseconds();
        BodyCollector collector = new BodyCollector(
                context, scope.request(), context.settings().limits().bodyBytes());
        Future<Buffer> collected = collector.collect();
        scope.request().resume();
        collected.onFailure(cause -> refuse(scope, collector, cause)).onSuccess(body -> {
            String digest = RequestDigest.of(scope.request().method().name(), uri, body);
            Disposable unused = context.claims()
                    .claimBeforeFirstAttempt(scope.clientAccount(), key, digest)
                    .subscribe(
                            decision -> {
                                if (decision.stored().isPresent()) {
                                    collector.release();
                                    replay(scope, decision.stored().get());
                                    return;
                                }
                                ClaimedExchange exchange = new ClaimedExchange(
                                        context.claims(), decision.granted().orElseThrow());
                                long elapsed = context.timers().monotonicNanoseconds() - receivedNanoseconds;
                                new PlainCall(context, scope, routed, uri, deadline.minusNanos(elapsed))
                                        .withBody(body, collector)
                                        .withClaim(exchange)
                                        .begin();
                            },
                            cause -> refuse(scope, collector, cause));
        });
    }

    private void replay(RequestScope scope, ClaimDecision.Answer answer) {
        HttpServerResponse response = scope.response();
        response.setStatusCode(answer.status());
        answer.headers().forEach(header -> response.putHeader(header.name(), header.value()));
        response.putHeader(ErrorResponder.RUN_STATE_HEADER, RunState.RUN.name());
        context.metrics().requestEnded("replayed");
        scope.end(answer.body());
    }

    private void refuse(RequestScope scope, BodyCollector collector, Throwable cause) {
        FireflywalkException known = ErrorResponder.asKnown(cause, "request");
        collector.release();
        context.metrics().requestEnded(known.kind().code());
        scope.fail(known);
    }
}
