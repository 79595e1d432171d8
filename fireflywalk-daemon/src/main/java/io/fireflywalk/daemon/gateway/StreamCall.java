package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.RunState;
import io.fireflywalk.core.request.TokenStreamJoiner;
import io.fireflywalk.core.routing.RequestFeatures;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Optional;

/**
 * Call of a model that responds with a stream of server-sent events. A broken, stalled or inconsistent stream is
 * resumed on another runner of the same model version. Confined to one event loop.
 */
final class StreamCall extends ModelCall {
    private static final int STATUS_OK = 200;
    private static final int MAXIMUM_HELD_EVENTS = 16;
    private static final String KEEP_ALIVE_COMMENT = ": waiting\n\n";

    private final TokenStreamJoiner joiner;
    private Optional<String> modelVersion = Optional.empty();
    private Disposable keepAliveTimer = Disposable.disposed();
    private long lastWriteNanoseconds;
    private long lastTokenNanoseconds;
    private boolean attemptHasToken;

    StreamCall(
            GatewayContext context,
            RequestScope scope,
            ModelRequest model,
            RequestFeatures features,
            RequestBodyCollector collector,
            Duration deadline) {
        super(context, scope, model, features, collector, deadline);
        var limits = context.settings().targets();
        this.joiner = new TokenStreamJoiner(
                TokenTextReader::read, limits.eventBytes(), limits.resumeCharacters(), MAXIMUM_HELD_EVENTS);
        this.lastWriteNanoseconds = startedNanoseconds();
    }

    /** Starts the call and the periodic comments that keep the caller's connection alive. */
    void startWithKeepAlive() {
        Duration period = Duration.ofMillis(context().settings().targets().commentMilliseconds());
        keepAliveTimer = context().timers().every(period).subscribe(tick -> sendKeepAlive(period));
        start();
    }

    @Override
    boolean eligible(Target target) {
        return modelVersion.isEmpty() || modelVersion.get().equals(target.modelVersion());
    }

    @Override
    Duration headerTimeout() {
        return Duration.ofMillis(context().settings().targets().headMilliseconds());
    }

    @Override
    boolean isResume() {
        return joiner.forwardedTokens() > 0;
    }

    @Override
    boolean canRetry() {
        return joiner.forwardedTokens() == 0 || joiner.resumable();
    }

    @Override
    void release() {
        keepAliveTimer.dispose();
        super.release();
    }

    @Override
    Buffer body(HttpClientRequest request) {
        if (!isResume()) {
            return model().body();
        }
        request.putHeader("last-event-id", Long.toString(joiner.forwardedTokens() - 1));
        return model().resumeBody(joiner.generatedText());
    }

    @Override
    void handleResponse(TargetAttempt attempt, HttpClientResponse response) {
        if (response.statusCode() != STATUS_OK) {
            if (scope().response().headWritten()) {
                attempt.fail(ErrorKind.TARGET_FAILED, "the resume was refused", null);
            } else {
                collectResponse(attempt, response);
            }
            return;
        }
        String contentType = response.getHeader("content-type");
        if (contentType == null || !contentType.startsWith(ErrorResponder.EVENT_STREAM)) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, "the answer is not an event stream", null);
            return;
        }
        joiner.startAttempt();
        attemptHasToken = false;
        response.handler(chunk -> acceptChunk(attempt, response, chunk));
        response.endHandler(
                ignored -> attempt.fail(ErrorKind.ANSWER_TRUNCATED, "the stream ended without its end marker", null));
        response.resume();
    }

    private void acceptChunk(TargetAttempt attempt, HttpClientResponse response, Buffer chunk) {
        if (attempt.ended() || finished()) {
            return;
        }
        long tokensBefore = joiner.forwardedTokens();
        String output = joiner.accept(chunk.getBytes());
        attempt.progress();
        if (joiner.forwardedTokens() > tokensBefore) {
            recordTokens(attempt, tokensBefore);
        }
        if (!output.isEmpty()) {
            forward(attempt, response, output);
        }
        if (joiner.protocolError().isPresent()) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, joiner.protocolError().get(), null);
        } else if (joiner.complete()) {
            streamCompleted(attempt, response);
        }
    }

    private void recordTokens(TargetAttempt attempt, long tokensBefore) {
        long now = context().timers().monotonicNanoseconds();
        if (tokensBefore == 0) {
            context().metrics().recordTimeToFirstToken(now - startedNanoseconds());
        } else {
            context()
                    .metrics()
                    .recordTimeBetweenTokens((now - lastTokenNanoseconds) / (joiner.forwardedTokens() - tokensBefore));
        }
        lastTokenNanoseconds = now;
        if (!attemptHasToken) {
            // The limit between chunks applies from the first token on, because prefill may take longer.
            attemptHasToken = true;
            attempt.bodyStarted();
        }
        if (modelVersion.isEmpty()) {
            modelVersion = Optional.of(attempt.target().modelVersion());
        }
    }

    private void forward(TargetAttempt attempt, HttpClientResponse response, String output) {
        HttpServerResponse callerResponse = scope().response();
        writeResponseHead(runState());
        callerResponse.write(output);
        lastWriteNanoseconds = context().timers().monotonicNanoseconds();
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

    private void streamCompleted(TargetAttempt attempt, HttpClientResponse response) {
        String ending = joiner.endingEvents();
        TokenUsage usage = TokenUsage.ofEvents(ending);
        attempt.completeAndDrain(response);
        attemptSucceeded(attempt);
        succeed(attempt, usage.promptTokens(), Math.max(usage.generatedTokens(), joiner.forwardedTokens()), () -> {
            writeResponseHead(RunState.RUN);
            scope().end(Buffer.buffer(ending));
        });
    }

    private void sendKeepAlive(Duration period) {
        HttpServerResponse callerResponse = scope().response();
        long idleNanoseconds = context().timers().monotonicNanoseconds() - lastWriteNanoseconds;
        // Tolerates half a period, because timer ticks and writes are not synchronised.
        if (finished() || callerResponse.writeQueueFull() || idleNanoseconds < period.toNanos() / 2) {
            return;
        }
        writeResponseHead(runState());
        callerResponse.write(KEEP_ALIVE_COMMENT);
        lastWriteNanoseconds = context().timers().monotonicNanoseconds();
    }

    private void writeResponseHead(RunState runState) {
        HttpServerResponse callerResponse = scope().response();
        if (callerResponse.headWritten()) {
            return;
        }
        callerResponse
                .setChunked(true)
                .putHeader("content-type", ErrorResponder.EVENT_STREAM)
                .putHeader("cache-control", "no-cache");
        if (runState == RunState.RUN) {
            // The run state is not known yet when the head is sent with a keep-alive comment.
            callerResponse.putHeader(ErrorResponder.RUN_STATE_HEADER, runState.name());
        }
    }
}
