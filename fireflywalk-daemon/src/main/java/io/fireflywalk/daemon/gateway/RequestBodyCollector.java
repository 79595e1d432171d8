package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;

/**
 * Buffers the body of a request within a size limit, the process-wide memory budget and the idle limit of slow senders.
 * The bytes stay reserved until {@link #release()}. Confined to one event loop.
 */
final class RequestBodyCollector {
    private static final String LOCATION = "request body";

    private final GatewayContext context;
    private final HttpServerRequest request;
    private final int maximumBytes;
    private final Buffer body = Buffer.buffer();
    private final Promise<Buffer> collected = Promise.promise();
    private final IdleTimer idleTimer;
    private long reservedBytes;
    private boolean released;

    RequestBodyCollector(GatewayContext context, HttpServerRequest request, int maximumBytes) {
        this.context = context;
        this.request = request;
        this.maximumBytes = maximumBytes;
        this.idleTimer =
                new IdleTimer(context.timers(), () -> fail(ErrorKind.SLOW_SENDER, "the body did not arrive in time"));
    }

    /** Starts collecting; the future fails if a limit is exceeded. */
    Future<Buffer> collect() {
        idleTimer.start(Duration.ofMillis(context.settings().limits().slowSenderMilliseconds()));
        request.handler(this::append);
        request.exceptionHandler(cause -> fail(ErrorKind.INVALID_REQUEST, "the body is malformed or incomplete"));
        request.endHandler(ignored -> {
            idleTimer.stop();
            collected.tryComplete(body);
        });
        if (RequestHead.declaredLength(request) > maximumBytes) {
            fail(ErrorKind.BODY_TOO_LARGE, "the body is larger than " + maximumBytes + " bytes");
        }
        return collected.future();
    }

    /** Returns the reserved bytes to the budget; the body must no longer be used. */
    void release() {
        released = true;
        idleTimer.stop();
        context.memory().release(reservedBytes);
        reservedBytes = 0;
    }

    private void append(Buffer chunk) {
        if (released || collected.future().isComplete()) {
            return;
        }
        idleTimer.progress();
        if (body.length() + chunk.length() > maximumBytes) {
            fail(ErrorKind.BODY_TOO_LARGE, "the body is larger than " + maximumBytes + " bytes");
        } else if (context.memory().reserve(chunk.length())) {
            reservedBytes += chunk.length();
            body.appendBuffer(chunk);
        } else {
            fail(ErrorKind.MEMORY_EXHAUSTED, "too many bodies are being received");
        }
    }

    private void fail(ErrorKind kind, String detail) {
        idleTimer.stop();
        collected.tryFail(new FireflywalkException(kind, detail, LOCATION));
    }
}
