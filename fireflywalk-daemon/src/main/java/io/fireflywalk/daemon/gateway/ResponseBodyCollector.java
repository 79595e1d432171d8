package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.error.ErrorKind;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.function.Consumer;

/**
 * Buffers the whole body of a target's response within a size limit and the process-wide memory budget. Confined to one
 * event loop.
 */
final class ResponseBodyCollector {
    private final GatewayContext context;
    private final TargetAttempt attempt;
    private final Buffer body = Buffer.buffer();
    private long reservedBytes;

    ResponseBodyCollector(GatewayContext context, TargetAttempt attempt) {
        this.context = context;
        this.attempt = attempt;
    }

    /** Collects the body and passes it to the consumer when it is complete, or fails the attempt. */
    void collect(HttpClientResponse response, Consumer<Buffer> whenComplete) {
        attempt.bodyStarted();
        response.handler(this::append);
        response.endHandler(ignored -> {
            if (!attempt.ended()) {
                whenComplete.accept(body);
            }
        });
        response.resume();
    }

    /** Returns the reserved bytes to the budget. */
    void release() {
        context.memory().release(reservedBytes);
        reservedBytes = 0;
    }

    /** Returns whether the body is delimited other than by closing the connection, so that truncation is detectable. */
    static boolean isDelimited(HttpClientResponse response) {
        return response.headers().contains("content-length")
                || response.headers().contains("transfer-encoding")
                || response.statusCode() == 204
                || response.statusCode() == 304;
    }

    private void append(Buffer chunk) {
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
