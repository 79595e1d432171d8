package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.RoutedService;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.error.RunState;
import io.fireflywalk.core.usage.UsageAmount;
import io.fireflywalk.daemon.claim.BoundedBody;
import io.fireflywalk.daemon.claim.ClaimDecision;
import io.fireflywalk.daemon.claim.ClaimService;
import io.fireflywalk.daemon.claim.ClaimedExchange;
import io.fireflywalk.daemon.claim.RequestDigest;
import io.fireflywalk.daemon.usage.UsageRecorder;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;

/** Passes requests to plain services and their answers to callers, both as streams. Confined to one event loop. */
public final class PlainRequestHandler {
    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final int MAXIMUM_KEY_LENGTH = 255;

    private final HttpClient client;
    private final TargetPool pool;
    private final UsageRecorder usage;
    private final ClaimService claims;
    private final int maximumClaimedBodyBytes;

    public PlainRequestHandler(
            HttpClient client, TargetPool pool, UsageRecorder usage, ClaimService claims, int maximumClaimedBodyBytes) {
        this.client = client;
        this.pool = pool;
        this.usage = usage;
        this.claims = claims;
        this.maximumClaimedBodyBytes = maximumClaimedBodyBytes;
    }

    /** Handles a request whose key is valid, or whose route is open to all. */
    public void handle(RequestScope scope, RoutedService routed) throws FireflywalkException {
        String key = scope.request().getHeader(IDEMPOTENCY_KEY);
        // A key is scoped by its client account, which a route open to all does not have.
        if (key == null || routed.route().idempotent() || scope.clientAccount().isEmpty()) {
            send(scope, routed, Optional.empty(), Optional.empty());
            return;
        }
        if (key.isEmpty() || key.length() > MAXIMUM_KEY_LENGTH) {
            throw new FireflywalkException(
                    ErrorKind.INVALID_REQUEST, "the idempotency key must have 1 to 255 characters", "gateway");
        }
        Disposable unused = BoundedBody.read(scope.request(), maximumClaimedBodyBytes)
                .flatMapCompletable(body -> claimAndSend(scope, routed, key, body))
                .subscribe(() -> {}, cause -> fail(scope, ErrorResponder.asKnown(cause, "gateway")));
    }

    private Completable claimAndSend(RequestScope scope, RoutedService routed, String key, Buffer body) {
        String digest = RequestDigest.of(
                scope.request().method().name(), scope.request().uri(), body);
        return claims.claimBeforeFirstAttempt(scope.clientAccount(), key, digest)
                .flatMapCompletable(decision -> Completable.fromAction(() -> {
                    if (decision.stored().isPresent()) {
                        replay(scope, decision.stored().get());
                        return;
                    }
                    ClaimedExchange exchange =
                            new ClaimedExchange(claims, decision.granted().orElseThrow());
                    try {
                        send(scope, routed, Optional.of(body), Optional.of(exchange));
                    } catch (FireflywalkException exception) {
                        endAfter(exchange.failed(exception.runState()), () -> fail(scope, exception));
                    }
                }));
    }

    private void send(
            RequestScope scope, RoutedService routed, Optional<Buffer> body, Optional<ClaimedExchange> exchange)
            throws FireflywalkException {
        Target target = pool.choose(scope.snapshot(), routed.service().name(), scope.requestId(), Set.of());
        pool.attemptStarted(target);
        if (body.isEmpty()) {
            scope.request().pause();
        }
        RunState[] runState = {RunState.NOT_RUN};
        RequestOptions options = new RequestOptions()
                .setMethod(scope.request().method())
                .setHost(target.host())
                .setPort(target.port())
                .setURI(scope.request().uri());
        client.request(options)
                .compose(request -> {
                    runState[0] = RunState.UNKNOWN;
                    HeaderFilter.copyToTarget(scope.request().headers(), request.headers());
                    request.putHeader("x-request-id", scope.requestId())
                            .putHeader("x-attempt-id", UUID.randomUUID().toString());
                    if (body.isPresent()) {
                        return request.send(body.get());
                    }
                    String length = scope.request().getHeader("content-length");
                    if (length != null) {
                        request.putHeader("content-length", length);
                    } else {
                        request.setChunked(true);
                    }
                    return request.send(scope.request());
                })
                .compose(answer -> forward(scope, answer, exchange))
                .onSuccess(ignored -> {
                    pool.attemptEnded(target);
                    Completable recorded = usage.record(
                            scope.requestId(),
                            scope.clientAccount(),
                            routed.service().name(),
                            target.charge(),
                            new UsageAmount(1, 0, 0));
                    Completable stored =
                            exchange.map(ClaimedExchange::answerEnded).orElse(Completable.complete());
                    endAfter(
                            Completable.mergeArray(recorded, stored),
                            () -> scope.request().response().end());
                })
                .onFailure(cause -> {
                    pool.attemptEnded(target);
                    FireflywalkException failure = new FireflywalkException(
                            ErrorKind.TARGET_FAILED,
                            runState[0],
                            "the target failed",
                            "target " + target.name(),
                            cause);
                    Completable stored =
                            exchange.map(claimed -> claimed.failed(runState[0])).orElse(Completable.complete());
                    endAfter(stored, () -> fail(scope, failure));
                });
    }

    private static Future<Void> forward(
            RequestScope scope, HttpClientResponse answer, Optional<ClaimedExchange> exchange) {
        HttpServerResponse response = scope.request().response();
        response.setStatusCode(answer.statusCode());
        HeaderFilter.copyToCaller(answer.headers(), response.headers());
        exchange.ifPresent(claimed -> claimed.answerStarted(answer.statusCode(), response.headers()));
        if (!response.headers().contains("content-length")) {
            response.setChunked(true);
        }
        if (exchange.isEmpty()) {
            return answer.pipe().endOnComplete(false).to(response);
        }
        Promise<Void> ended = Promise.promise();
        // The answer of a claimed request is read to its end and stored even if the caller has gone.
        response.exceptionHandler(ignored -> answer.resume());
        answer.handler(chunk -> {
            exchange.get().answerChunk(chunk);
            if (response.closed()) {
                return;
            }
            response.write(chunk);
            if (response.writeQueueFull()) {
                answer.pause();
                response.drainHandler(ignored -> answer.resume());
            }
        });
        answer.exceptionHandler(ended::tryFail);
        answer.endHandler(ignored -> ended.tryComplete());
        return ended.future();
    }

    private static void replay(RequestScope scope, ClaimDecision.Answer answer) {
        HttpServerResponse response = scope.request().response();
        response.setStatusCode(answer.status());
        answer.headers().forEach(header -> response.putHeader(header.name(), header.value()));
        response.putHeader(ErrorResponder.RUN_STATE_HEADER, RunState.RUN.name()).end(answer.body());
    }

    private static void endAfter(Completable stored, Runnable end) {
        Disposable unused = stored.onErrorComplete().subscribe(end::run);
    }

    private static void fail(RequestScope scope, FireflywalkException exception) {
        ErrorResponder.respond(scope.request().response(), scope.requestId(), exception);
    }
}
