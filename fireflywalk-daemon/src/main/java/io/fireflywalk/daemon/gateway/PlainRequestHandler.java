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

/**
 * Handles requests to plain services: validation, admission, idempotency claim and start of the call. Confined to one
 * event loop.
 */
public final class PlainRequestHandler {
    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final int MAXIMUM_KEY_LENGTH = 255;

    private final GatewayContext context;

    public PlainRequestHandler(GatewayContext context) {
        this.context = context;
    }

    /**
     * Handles an authenticated request, or one whose route is open to all. A small body is buffered first, so that a
     * rejected request can be retried on another target and a slow sender occupies no target; a large one is streamed.
     */
    public void handle(RequestScope scope, RoutedService routed) throws FireflywalkException {
        long receivedNanoseconds = context.timers().monotonicNanoseconds();
        long length = RequestHead.declaredLength(scope.request());
        int maximumBytes = context.settings().limits().bodyBytes();
        if (length > maximumBytes) {
            throw new FireflywalkException(
                    ErrorKind.BODY_TOO_LARGE, "the body is larger than " + maximumBytes + " bytes", "request head");
        }
        Duration deadline =
                RequestHead.deadline(scope.request(), routed.service().defaultDeadlineMilliseconds());
        String uri = ApiKeyRemover.uriWithoutKey(scope.request().uri(), scope.presentedKey());
        Optional<String> idempotencyKey = idempotencyKey(scope, routed.route());
        scope.request().pause();
        scope.response().closeHandler(ignored -> scope.completion().complete());
        context.admission()
                .admitPlain(scope.clientAccount(), routed.service().name(), deadline.toMillis())
                .onFailure(cause -> {
                    FireflywalkException known = ErrorResponder.toFireflywalkException(cause, "admission");
                    context.metrics().countRequest(known.kind().code());
                    scope.fail(known);
                })
                .onSuccess(ignored -> {
                    long waitedNanoseconds = context.timers().monotonicNanoseconds() - receivedNanoseconds;
                    if (!scope.response().closed()) {
                        startCall(scope, routed, uri, deadline.minusNanos(waitedNanoseconds), idempotencyKey);
                    }
                });
    }

    private void startCall(
            RequestScope scope, RoutedService routed, String uri, Duration deadline, Optional<String> idempotencyKey) {
        long receivedNanoseconds = context.timers().monotonicNanoseconds();
        long length = RequestHead.declaredLength(scope.request());
        if (idempotencyKey.isPresent()) {
            claimAndStartCall(scope, routed, uri, deadline, idempotencyKey.get());
            return;
        }
        int maximumCollectedBytes = context.settings().limits().repeatableBodyBytes();
        if (length < 0 || length > maximumCollectedBytes) {
            new PlainCall(context, scope, routed, uri, deadline).start();
            return;
        }
        RequestBodyCollector collector = new RequestBodyCollector(context, scope.request(), maximumCollectedBytes);
        scope.response().closeHandler(ignored -> {
            collector.release();
            scope.completion().complete();
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
                        .start())
                .onFailure(cause -> reject(scope, collector, cause));
    }

    /**
     * Returns the idempotency key if the outcome is to be stored. Keys are scoped by account, so open routes have none.
     */
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

    private void claimAndStartCall(
            RequestScope scope, RoutedService routed, String uri, Duration deadline, String key) {
        long receivedNanoseconds = context.timers().monotonicNanoseconds();
        RequestBodyCollector collector = new RequestBodyCollector(
                context, scope.request(), context.settings().limits().bodyBytes());
        Future<Buffer> collected = collector.collect();
        scope.request().resume();
        collected.onFailure(cause -> reject(scope, collector, cause)).onSuccess(body -> {
            String digest = RequestDigest.of(scope.request().method().name(), uri, body);
            Disposable unused = context.claims()
                    .claimBeforeFirstAttempt(scope.clientAccount(), key, digest)
                    .subscribe(
                            decision -> {
                                if (decision.storedResponse().isPresent()) {
                                    collector.release();
                                    replay(scope, decision.storedResponse().get());
                                    return;
                                }
                                ClaimedExchange exchange = new ClaimedExchange(
                                        context.claims(), decision.granted().orElseThrow());
                                long elapsedNanoseconds = context.timers().monotonicNanoseconds() - receivedNanoseconds;
                                new PlainCall(context, scope, routed, uri, deadline.minusNanos(elapsedNanoseconds))
                                        .withBody(body, collector)
                                        .withClaim(exchange)
                                        .start();
                            },
                            cause -> reject(scope, collector, cause));
        });
    }

    private void replay(RequestScope scope, ClaimDecision.Response storedResponse) {
        HttpServerResponse response = scope.response();
        response.setStatusCode(storedResponse.status());
        storedResponse.headers().forEach(header -> response.putHeader(header.name(), header.value()));
        response.putHeader(ErrorResponder.RUN_STATE_HEADER, RunState.RUN.name());
        context.metrics().countRequest("replayed");
        scope.end(storedResponse.body());
    }

    private void reject(RequestScope scope, RequestBodyCollector collector, Throwable cause) {
        FireflywalkException known = ErrorResponder.toFireflywalkException(cause, "request");
        collector.release();
        context.metrics().countRequest(known.kind().code());
        scope.fail(known);
    }
}
