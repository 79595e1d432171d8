package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.RoutedService;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.error.RunState;
import io.fireflywalk.daemon.claim.ClaimedExchange;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Optional;

/**
 * Call of a plain service. The answer is streamed; its last bytes are held until it is complete and its usage recorded.
 * Confined to one event loop.
 */
final class PlainCall extends TargetCall {
    private final String uri;
    private final ProgressTimer slowSender;
    private Optional<Buffer> collectedBody = Optional.empty();
    private Optional<BodyCollector> collector = Optional.empty();
    private Optional<ClaimedExchange> claim = Optional.empty();
    private boolean uploadBegun;
    private boolean uploadEnded;
    private long uploadedBytes;
    private long declaredAnswerBytes = -1;
    private long answerBytes;
    private Buffer lastBytes = Buffer.buffer();

    PlainCall(GatewayContext context, RequestScope scope, RoutedService routed, String uri, Duration deadline) {
        super(context, scope, routed.service().name(), routed.route().idempotent(), deadline);
        this.uri = uri;
        this.slowSender = new ProgressTimer(
                context.timers(), () -> failUpload(ErrorKind.SLOW_SENDER, "the body did not arrive in time"));
    }

    /** Sends a body that has been collected and can be repeated. */
    PlainCall withBody(Buffer body, BodyCollector bodyCollector) {
        collectedBody = Optional.of(body);
        collector = Optional.of(bodyCollector);
        return this;
    }

    /** Keeps the outcome for retries with the same idempotency key. */
    PlainCall withClaim(ClaimedExchange exchange) {
        claim = Optional.of(exchange);
        return this;
    }

    @Override
    boolean eligible(Target target) {
        return true;
    }

    @Override
    Duration headLimit() {
        return Duration.ofMillis(context().settings().targets().headMilliseconds());
    }

    @Override
    HttpMethod method() {
        return scope().request().method();
    }

    @Override
    String uri() {
        return uri;
    }

    @Override
    boolean engine() {
        return false;
    }

    @Override
    boolean resuming() {
        return false;
    }

    @Override
    boolean repeatable() {
        return !uploadBegun && !scope().response().headWritten();
    }

    @Override
    void release() {
        slowSender.stop();
        collector.ifPresent(BodyCollector::release);
    }

    @Override
    boolean runsWithoutCaller() {
        return claim.isPresent();
    }

    @Override
    Completable outcomeStored() {
        return claim.map(ClaimedExchange::answerEnded).orElse(Completable.complete());
    }

    @Override
    Completable failureStored(RunState runState) {
        return claim.map(exchange -> exchange.failed(runState)).orElse(Completable.complete());
    }

    // Request

    @Override
    public void write(TargetAttempt attempt, HttpClientRequest request) {
        writeHeaders(attempt, request, true);
        if (collectedBody.isPresent()) {
            if (collectedBody.get().length() > 0) {
                request.end(collectedBody.get());
            } else {
                endWithoutBody(request);
            }
            return;
        }
        uploadBegun = true;
        String length = scope().request().getHeader("content-length");
        if (length == null) {
            request.setChunked(true);
        } else {
            request.putHeader("content-length", length);
        }
        upload(attempt, request);
    }

    private void endWithoutBody(HttpClientRequest request) {
        if (scope().request().headers().contains("content-length")) {
            request.putHeader("content-length", "0");
        }
        request.end();
    }

    private void upload(TargetAttempt attempt, HttpClientRequest request) {
        HttpServerRequest source = scope().request();
        slowSender.start(Duration.ofMillis(context().settings().limits().slowSenderMilliseconds()));
        source.exceptionHandler(
                ignored -> failUpload(ErrorKind.INVALID_REQUEST, "the body is malformed or incomplete"));
        source.handler(chunk -> {
            uploadedBytes += chunk.length();
            if (uploadedBytes > context().settings().limits().bodyBytes()) {
                failUpload(ErrorKind.BODY_TOO_LARGE, "the body is too large");
            } else if (!attempt.ended()) {
                uploadChunk(attempt, request, chunk);
            }
        });
        source.endHandler(ignored -> {
            uploadEnded = true;
            slowSender.stop();
            if (!attempt.ended()) {
                attempt.progress();
                request.end();
            }
        });
        source.resume();
    }

    private void uploadChunk(TargetAttempt attempt, HttpClientRequest request, Buffer chunk) {
        slowSender.progress();
        attempt.progress();
        request.write(chunk);
        if (request.writeQueueFull()) {
            scope().request().pause();
            slowSender.suspend();
            request.drainHandler(ignored -> {
                slowSender.resume();
                attempt.progress();
                scope().request().resume();
            });
        }
    }

    private void failUpload(ErrorKind kind, String detail) {
        fail(new FireflywalkException(kind, detail, "request body"));
    }

    // Answer

    @Override
    void answer(TargetAttempt attempt, HttpClientResponse response) {
        boolean head = method().equals(HttpMethod.HEAD);
        if (!head && !AnswerBody.endIsMarked(response)) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, "the answer does not mark its end", null);
            return;
        }
        String length = response.getHeader("content-length");
        declaredAnswerBytes = length == null ? -1 : Long.parseLong(length);
        claim.ifPresent(exchange -> {
            MultiMap kept = MultiMap.caseInsensitiveMultiMap();
            HeaderFilter.copyToCaller(response.headers(), kept);
            exchange.answerStarted(response.statusCode(), kept);
        });
        response.handler(chunk -> take(attempt, response, chunk));
        response.endHandler(ignored -> completed(attempt, response));
        response.resume();
    }

    private void take(TargetAttempt attempt, HttpClientResponse response, Buffer chunk) {
        if (attempt.ended() || finished()) {
            return;
        }
        if (answerBytes == 0) {
            attempt.bodyBegun();
        }
        attempt.progress();
        answerBytes += chunk.length();
        claim.ifPresent(exchange -> exchange.answerChunk(chunk));
        if (answerBytes == declaredAnswerBytes) {
            // A caller takes the answer as complete when the declared length has come, so the rest is held.
            lastBytes = chunk;
            return;
        }
        HttpServerResponse caller = scope().response();
        if (caller.closed()) {
            // Only a call that keeps its outcome goes on here; its answer is read to the end and stored.
            return;
        }
        beginAnswer(response);
        caller.write(chunk);
        if (caller.writeQueueFull()) {
            response.pause();
            attempt.waitForCaller();
            caller.drainHandler(ignored -> {
                if (!attempt.ended()) {
                    attempt.continueAfterCaller();
                    response.resume();
                }
            });
        }
    }

    private void completed(TargetAttempt attempt, HttpClientResponse response) {
        if (attempt.ended() || finished()) {
            return;
        }
        if (uploadBegun && !uploadEnded) {
            // The connection still expects the rest of the request and must not be used again.
            attemptSatisfied(attempt);
        } else {
            attemptCompleted(attempt);
        }
        succeed(attempt, 0, 0, () -> {
            if (scope().response().closed()) {
                scope().ended().ended();
                return;
            }
            beginAnswer(response);
            if (lastBytes.length() > 0) {
                endWith(lastBytes);
            } else {
                scope().end();
            }
        });
    }

    private void beginAnswer(HttpClientResponse response) {
        HttpServerResponse caller = scope().response();
        if (caller.headWritten()) {
            return;
        }
        copyHead(response);
        boolean bodyless =
                method().equals(HttpMethod.HEAD) || response.statusCode() == 204 || response.statusCode() == 304;
        if (declaredAnswerBytes >= 0) {
            caller.putHeader("content-length", Long.toString(declaredAnswerBytes));
        } else if (!bodyless) {
            caller.setChunked(true);
        }
    }
}
