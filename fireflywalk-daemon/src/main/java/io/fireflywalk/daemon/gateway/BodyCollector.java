package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;

/**
 * Collects the body of a request within a size limit, the process-wide budget and the time limit of slow senders. The
 * bytes stay reserved until {@link #release()}. Confined to one event loop.
 */
final class BodyCollector {
    private static final String LOCATION = "request body";

    private final GatewayContext context;
    private final HttpServerRequest request;
    private final int maximumBytes;
    private final Buffer body = Buffer.buffer();
    private final Promise<Buffer> collected = Promise.promise();
    private final ProgressTimer slowSender;
    private long reservedBytes;
    private boolean released;

    BodyCollector(GatewayContext context, HttpServerRequest request, int maximumBytes) {
        this.context = context;
        this.request = request;
        this.maximumBytes = maximumBytes;
        this.slowSender = new ProgressTimer(
                context.timers(), () -> refuse(ErrorKind.SLOW_SENDER, "the body did not arrive in time"));
    }

    /** Starts to collect. */
    Future<Buffer> collect() {
        slowSender.start(Duration.ofMillis(context.settings().limits().slowSenderMilliseconds()));
        request.handler(this::take);
        request.exceptionHandler(cause -> refuse(ErrorKind.INVALID_REQUEST, "the body is malformed or incomplete"));
        request.endHandler(ignored -> {
            slowSender.stop();
            collected.tryComplete(body);
        });
        if (CallerInput.declaredLength(request) > maximumBytes) {
            refuse(ErrorKind.BODY_TOO_LARGE, "the body is larger than " + maximumBytes + " bytes");
        }
        return collected.future();
    }

    /** Returns the bytes to the budget; the body must no longer be used. */
    void release() {
        released = true;
        slowSender.stop();
        context.memory().release(reservedBytes);
        reservedBytes = 0;
    }

    private void take(Buffer chunk) {
        if (released || collected.future().isComplete()) {
            return;
        }
        slowSender.progress();
        if (body.length() + chunk.length() > maximumBytes) {
            refuse(ErrorKind.BODY_TOO_LARGE, "the body is larger than " + maximumBytes + " bytes");
        } else if (context.memory().reserve(chunk.length())) {
            reservedBytes += chunk.length();
            body.appendBuffer(chunk);
        } else {
            refuse(ErrorKind.MEMORY_EXHAUSTED, "too many bodies are being received");
        }
    }

    private void refuse(ErrorKind kind, String detail) {
        slowSender.stop();
        collected.tryFail(new FireflywalkException(kind, detail, LOCATION));
    }
}
