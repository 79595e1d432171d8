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
 * Call of a plain service. The response is streamed; its last bytes are held back until it is complete and its usage
 * recorded. Confined to one event loop.
 */
final class PlainCall extends TargetCall {
    private final String uri;
    private final IdleTimer uploadTimer;
    private Optional<Buffer> collectedBody = Optional.empty();
    private Optional<RequestBodyCollector> collector = Optional.empty();
    private Optional<ClaimedExchange> claim = Optional.empty();
    private boolean uploadStarted;
    private boolean uploadEnded;
    private long uploadedBytes;
    private long declaredResponseBytes = -1;
    private long receivedResponseBytes;
    private Buffer heldBytes = Buffer.buffer();

    PlainCall(GatewayContext context, RequestScope scope, RoutedService routed, String uri, Duration deadline) {
        super(context, scope, routed.service().name(), routed.route().idempotent(), deadline);
        this.uri = uri;
        this.uploadTimer = new IdleTimer(
                context.timers(), () -> failUpload(ErrorKind.SLOW_SENDER, "the body did not arrive in time"));
    }

    /** Sends a buffered body, which can be sent again by a retry. */
    PlainCall withBody(Buffer body, RequestBodyCollector bodyCollector) {
        collectedBody = Optional.of(body);
        collector = Optional.of(bodyCollector);
        return this;
    }

    /** Stores the outcome for later requests with the same idempotency key. */
    PlainCall withClaim(ClaimedExchange exchange) {
        claim = Optional.of(exchange);
        return this;
    }

    @Override
    boolean eligible(Target target) {
        return true;
    }

    @Override
    Duration headerTimeout() {
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
    boolean targetsAreEngines() {
        return false;
    }

    @Override
    boolean isResume() {
        return false;
    }

    @Override
    boolean canRetry() {
        return !uploadStarted && !scope().response().headWritten();
    }

    @Override
    void release() {
        uploadTimer.stop();
        collector.ifPresent(RequestBodyCollector::release);
    }

    @Override
    boolean continuesWithoutCaller() {
        return claim.isPresent();
    }

    @Override
    Completable storeOutcome() {
        return claim.map(ClaimedExchange::storeResponse).orElse(Completable.complete());
    }

    @Override
    Completable storeFailure(RunState runState) {
        return claim.map(exchange -> exchange.storeFailure(runState)).orElse(Completable.complete());
    }

    // Request

    @Override
    public void writeRequest(TargetAttempt attempt, HttpClientRequest request) {
        writeHeaders(attempt, request, true);
        if (collectedBody.isPresent()) {
            if (collectedBody.get().length() > 0) {
                request.end(collectedBody.get());
            } else {
                endEmptyRequest(request);
            }
            return;
        }
        uploadStarted = true;
        String length = scope().request().getHeader("content-length");
        if (length == null) {
            request.setChunked(true);
        } else {
            request.putHeader("content-length", length);
        }
        upload(attempt, request);
    }

    private void endEmptyRequest(HttpClientRequest request) {
        if (scope().request().headers().contains("content-length")) {
            request.putHeader("content-length", "0");
        }
        request.end();
    }

    private void upload(TargetAttempt attempt, HttpClientRequest request) {
        HttpServerRequest callerRequest = scope().request();
        uploadTimer.start(Duration.ofMillis(context().settings().limits().slowSenderMilliseconds()));
        callerRequest.exceptionHandler(
                ignored -> failUpload(ErrorKind.INVALID_REQUEST, "the body is malformed or incomplete"));
        callerRequest.handler(chunk -> {
            uploadedBytes += chunk.length();
            if (uploadedBytes > context().settings().limits().bodyBytes()) {
                failUpload(ErrorKind.BODY_TOO_LARGE, "the body is too large");
            } else if (!attempt.ended()) {
                uploadChunk(attempt, request, chunk);
            }
        });
        callerRequest.endHandler(ignored -> {
            uploadEnded = true;
            uploadTimer.stop();
            if (!attempt.ended()) {
                attempt.progress();
                request.end();
            }
        });
        callerRequest.resume();
    }

    private void uploadChunk(TargetAttempt attempt, HttpClientRequest request, Buffer chunk) {
        uploadTimer.progress();
        attempt.progress();
        request.write(chunk);
        if (request.writeQueueFull()) {
            scope().request().pause();
            uploadTimer.suspend();
            request.drainHandler(ignored -> {
                uploadTimer.resume();
                attempt.progress();
                scope().request().resume();
            });
        }
    }

    private void failUpload(ErrorKind kind, String detail) {
        fail(new FireflywalkException(kind, detail, "request body"));
    }

    // Response

    @Override
    void handleResponse(TargetAttempt attempt, HttpClientResponse response) {
        boolean isHeadRequest = method().equals(HttpMethod.HEAD);
        if (!isHeadRequest && !ResponseBodyCollector.isDelimited(response)) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, "the answer does not mark its end", null);
            return;
        }
        String length = response.getHeader("content-length");
        declaredResponseBytes = length == null ? -1 : Long.parseLong(length);
        claim.ifPresent(exchange -> {
            MultiMap storedHeaders = MultiMap.caseInsensitiveMultiMap();
            HeaderFilter.copyToCaller(response.headers(), storedHeaders);
            exchange.responseStarted(response.statusCode(), storedHeaders);
        });
        response.handler(chunk -> forwardChunk(attempt, response, chunk));
        response.endHandler(ignored -> responseCompleted(attempt, response));
        response.resume();
    }

    private void forwardChunk(TargetAttempt attempt, HttpClientResponse response, Buffer chunk) {
        if (attempt.ended() || finished()) {
            return;
        }
        if (receivedResponseBytes == 0) {
            attempt.bodyStarted();
        }
        attempt.progress();
        receivedResponseBytes += chunk.length();
        claim.ifPresent(exchange -> exchange.responseChunk(chunk));
        if (receivedResponseBytes == declaredResponseBytes) {
            // The caller regards the response as complete at the declared length, so the last chunk is held back.
            heldBytes = chunk;
            return;
        }
        HttpServerResponse callerResponse = scope().response();
        if (callerResponse.closed()) {
            // Only a call that stores its outcome continues without a caller; it reads the response to the end.
            return;
        }
        startCallerResponse(response);
        callerResponse.write(chunk);
        if (callerResponse.writeQueueFull()) {
            response.pause();
            attempt.suspendTimer();
            callerResponse.drainHandler(ignored -> {
                if (!attempt.ended()) {
                    attempt.resumeTimer();
                    response.resume();
                }
            });
        }
    }

    private void responseCompleted(TargetAttempt attempt, HttpClientResponse response) {
        if (attempt.ended() || finished()) {
            return;
        }
        if (uploadStarted && !uploadEnded) {
            // The target still expects the rest of the request, so the connection must not be reused.
            attemptCompletedWithoutReuse(attempt);
        } else {
            attemptCompleted(attempt);
        }
        succeed(attempt, 0, 0, () -> {
            if (scope().response().closed()) {
                scope().completion().complete();
                return;
            }
            startCallerResponse(response);
            if (heldBytes.length() > 0) {
                endResponse(heldBytes);
            } else {
                scope().end();
            }
        });
    }

    private void startCallerResponse(HttpClientResponse response) {
        HttpServerResponse callerResponse = scope().response();
        if (callerResponse.headWritten()) {
            return;
        }
        copyResponseHead(response);
        boolean hasNoBody =
                method().equals(HttpMethod.HEAD) || response.statusCode() == 204 || response.statusCode() == 304;
        if (declaredResponseBytes >= 0) {
            callerResponse.putHeader("content-length", Long.toString(declaredResponseBytes));
        } else if (!hasNoBody) {
            callerResponse.setChunked(true);
        }
    }
}
