package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.error.ErrorKind;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.function.Consumer;

/**
 * Collects the whole body of an answer, bounded in size and within the process-wide budget. Confined to one event loop.
 */
final class AnswerBody {
    private final GatewayContext context;
    private final TargetAttempt attempt;
    private final Buffer body = Buffer.buffer();
    private long reservedBytes;

    AnswerBody(GatewayContext context, TargetAttempt attempt) {
        this.context = context;
        this.attempt = attempt;
    }

    /** Collects the body and hands it on when it is complete; fails the attempt otherwise. */
    void collect(HttpClientResponse response, Consumer<Buffer> whenComplete) {
        attempt.bodyBegun();
        response.handler(this::take);
        response.endHandler(ignored -> {
            if (!attempt.ended()) {
                whenComplete.accept(body);
            }
        });
        response.resume();
    }

    /** Returns the bytes to the budget. */
    void release() {
        context.memory().release(reservedBytes);
        reservedBytes = 0;
    }

    /** Tells whether the end of the body is marked, so that a broken connection cannot pass for it. */
    static boolean endIsMarked(HttpClientResponse response) {
        return response.headers().contains("content-length")
                || response.headers().contains("transfer-encoding")
                || response.statusCode() == 204
                || response.statusCode() == 304;
    }

    private void take(Buffer chunk) {
        if (attempt.ended()) {
            return;
        }
        attempt.progress();
        if (body.length() + chunk.length() > context.settings().targets().answerBytes()) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, "the answer exceeds its bound", null);
        } else if (context.memory().reserve(chunk.length())) {
            reservedBytes += chunk.length();
            body.appendBuffer(chunk);
        } else {
            attempt.fail(ErrorKind.MEMORY_EXHAUSTED, "too many answers are being received", null);
        }
    }
}
