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
 * Call of a model that is answered as a stream of server-sent events. A broken, silent or wrong stream is resumed on
 * another runner of the same model version. Confined to one event loop.
 */
final class StreamCall extends ModelCall {
    private static final int STATUS_OK = 200;
    private static final int MAXIMUM_HELD_EVENTS = 16;
    private static final String COMMENT = ": waiting\n\n";

    private final TokenStreamJoiner joiner;
    private Optional<String> modelVersion = Optional.empty();
    private Disposable comments = Disposable.disposed();
    private long lastWriteNanoseconds;
    private long lastTokenNanoseconds;
    private boolean attemptHasToken;

    StreamCall(
            GatewayContext context,
            RequestScope scope,
            ModelRequest model,
            RequestFeatures features,
            BodyCollector collector,
            Duration deadline) {
        super(context, scope, model, features, collector, deadline);
        var limits = context.settings().targets();
        this.joiner = new TokenStreamJoiner(
                TokenText::read, limits.eventBytes(), limits.resumeCharacters(), MAXIMUM_HELD_EVENTS);
        this.lastWriteNanoseconds = startedNanoseconds();
    }

    /** Starts the call and the comments that keep the caller's connection alive. */
    void beginWithComments() {
        Duration period = Duration.ofMillis(context().settings().targets().commentMilliseconds());
        comments = context().timers().every(period).subscribe(tick -> comment(period));
        begin();
    }

    @Override
    boolean eligible(Target target) {
        return modelVersion.isEmpty() || modelVersion.get().equals(target.modelVersion());
    }

    @Override
    Duration headLimit() {
        return Duration.ofMillis(context().settings().targets().headMilliseconds());
    }

    @Override
    boolean resuming() {
        return joiner.tokens() > 0;
    }

    @Override
    boolean repeatable() {
        return joiner.tokens() == 0 || joiner.resumable();
    }

    @Override
    void release() {
        comments.dispose();
        super.release();
    }

    @Override
    Buffer body(HttpClientRequest request) {
        if (!resuming()) {
            return model().body();
        }
        request.putHeader("last-event-id", Long.toString(joiner.tokens() - 1));
        return model().resumeBody(joiner.generatedText());
    }

    @Override
    void answer(TargetAttempt attempt, HttpClientResponse response) {
        if (response.statusCode() != STATUS_OK) {
            if (scope().response().headWritten()) {
                attempt.fail(ErrorKind.TARGET_FAILED, "the resume was refused", null);
            } else {
                answerWhole(attempt, response);
            }
            return;
        }
        String type = response.getHeader("content-type");
        if (type == null || !type.startsWith(ErrorResponder.EVENT_STREAM)) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, "the answer is not an event stream", null);
            return;
        }
        joiner.startAttempt();
        attemptHasToken = false;
        response.handler(chunk -> take(attempt, response, chunk));
        response.endHandler(
                ignored -> attempt.fail(ErrorKind.ANSWER_TRUNCATED, "the stream ended without its end marker", null));
        response.resume();
    }

    private void take(TargetAttempt attempt, HttpClientResponse response, Buffer chunk) {
        if (attempt.ended() || finished()) {
            return;
        }
        long tokensBefore = joiner.tokens();
        String output = joiner.accept(chunk.getBytes());
        attempt.progress();
        if (joiner.tokens() > tokensBefore) {
            noteTokens(attempt, tokensBefore);
        }
        if (!output.isEmpty()) {
            write(attempt, response, output);
        }
        if (joiner.fault().isPresent()) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, joiner.fault().get(), null);
        } else if (joiner.complete()) {
            completed(attempt, response);
        }
    }

    private void noteTokens(TargetAttempt attempt, long tokensBefore) {
        long now = context().timers().monotonicNanoseconds();
        if (tokensBefore == 0) {
            context().metrics().firstToken(now - startedNanoseconds());
        } else {
            context().metrics().tokens((now - lastTokenNanoseconds) / (joiner.tokens() - tokensBefore));
        }
        lastTokenNanoseconds = now;
        if (!attemptHasToken) {
            // Until the first token the engine may be busy with the prompt, which takes longer than a gap.
            attemptHasToken = true;
            attempt.bodyBegun();
        }
        if (modelVersion.isEmpty()) {
            modelVersion = Optional.of(attempt.target().modelVersion());
        }
    }

    private void write(TargetAttempt attempt, HttpClientResponse response, String output) {
        HttpServerResponse caller = scope().response();
        writeHead(runState());
        caller.write(output);
        lastWriteNanoseconds = context().timers().monotonicNanoseconds();
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
        String ending = joiner.ending();
        TokenUsage usage = TokenUsage.ofEvents(ending);
        attempt.completeAtEndOf(response);
        attemptSucceeded(attempt);
        succeed(attempt, usage.promptTokens(), Math.max(usage.generatedTokens(), joiner.tokens()), () -> {
            writeHead(RunState.RUN);
            scope().end(Buffer.buffer(ending));
        });
    }

    private void comment(Duration period) {
        HttpServerResponse caller = scope().response();
        long silent = context().timers().monotonicNanoseconds() - lastWriteNanoseconds;
        // Half a period of tolerance, because the ticks and the writes are not in step.
        if (finished() || caller.writeQueueFull() || silent < period.toNanos() / 2) {
            return;
        }
        writeHead(runState());
        caller.write(COMMENT);
        lastWriteNanoseconds = context().timers().monotonicNanoseconds();
    }

    private void writeHead(RunState runState) {
        HttpServerResponse caller = scope().response();
        if (caller.headWritten()) {
            return;
        }
        caller.setChunked(true)
                .putHeader("content-type", ErrorResponder.EVENT_STREAM)
                .putHeader("cache-control", "no-cache");
        if (runState == RunState.RUN) {
            // A head that goes out with a comment cannot state what is not known yet.
            caller.putHeader(ErrorResponder.RUN_STATE_HEADER, runState.name());
        }
    }
}
