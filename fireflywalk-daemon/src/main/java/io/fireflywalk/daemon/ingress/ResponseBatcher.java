package io.fireflywalk.daemon.ingress;

import io.reactivex.rxjava3.core.Scheduler;
import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/**
 * Joins the chunks of a response that arrive in one turn of the event loop. A target that sends a long body in chunks of
 * a few bytes then costs one search for events and one write to the caller for each turn, not for each chunk. Confined
 * to one event loop.
 */
final class ResponseBatcher {
    /** Passed on without waiting for the end of the turn, which bounds the memory of a batch. */
    private static final int MAXIMUM_BATCH_BYTES = 65_536;

    private final Scheduler eventLoop;
    private final Consumer<Buffer> consumer;
    private Buffer batch = Buffer.buffer();

    ResponseBatcher(Scheduler eventLoop, Consumer<Buffer> consumer) {
        this.eventLoop = eventLoop;
        this.consumer = consumer;
    }

    void accept(Buffer chunk) {
        if (batch.length() == 0) {
            var unused = eventLoop.scheduleDirect(this::flush);
        }
        batch.appendBuffer(chunk);
        if (batch.length() >= MAXIMUM_BATCH_BYTES) {
            flush();
        }
    }

    /** Passes on what has been joined so far. */
    void flush() {
        if (batch.length() > 0) {
            Buffer complete = batch;
            batch = Buffer.buffer();
            consumer.accept(complete);
        }
    }
}
