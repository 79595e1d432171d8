package io.fireflywalk.daemon.ingress;

import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Reads bodies of responses within bounds, because a faulty target may send bytes without end. Confined to one event
 * loop.
 */
final class ResponseBodyReader {
    /** Body that is read to its end so that its connection can be used again; a longer one closes the connection. */
    private static final int MAXIMUM_DISCARDED_BYTES = 65_536;
    /** Time for which a body is read only to use its connection again. */
    private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(1);

    private ResponseBodyReader() {}

    /**
     * Collects a body of at most {@code maximumBytes}.
     *
     * @param onComplete receives the whole body
     * @param onTooLong receives the first bytes of a longer body, whose rest is dropped unless it sets other handlers
     */
    static void collect(
            HttpClientResponse response, int maximumBytes, Consumer<Buffer> onComplete, Consumer<Buffer> onTooLong) {
        Buffer body = Buffer.buffer();
        response.handler(chunk -> {
            body.appendBuffer(chunk);
            if (body.length() > maximumBytes) {
                response.handler(ignored -> {});
                response.endHandler(ignored -> {});
                onTooLong.accept(body);
            }
        });
        response.endHandler(ignored -> onComplete.accept(body));
        response.resume();
    }

    /** Reads a body without keeping it; runs {@code onEnd} at its end, or {@code onAbandon} if it is too long or slow. */
    static void discard(HttpClientResponse response, TimerService timers, Runnable onEnd, Runnable onAbandon) {
        Disposable timeout = timers.after(DISCARD_TIMEOUT).subscribe(onAbandon::run);
        int[] bytes = {0};
        response.handler(chunk -> {
            bytes[0] += chunk.length();
            if (bytes[0] > MAXIMUM_DISCARDED_BYTES) {
                timeout.dispose();
                onAbandon.run();
            }
        });
        response.endHandler(ignored -> {
            timeout.dispose();
            onEnd.run();
        });
        response.resume();
    }
}
