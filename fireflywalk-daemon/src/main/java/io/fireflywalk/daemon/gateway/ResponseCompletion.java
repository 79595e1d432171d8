package io.fireflywalk.daemon.gateway;

import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.time.Duration;

/**
 * Tracks a response until its last byte has been handed to the operating system. The connection of a caller that does
 * not read within the limit is closed, so that it cannot hold memory or block a shutdown. Confined to one event loop.
 */
final class ResponseCompletion {
    private final TimerService timers;
    private final Duration writeLimit;
    private final HttpConnection connection;
    private final Runnable onComplete;
    private boolean completed;

    ResponseCompletion(TimerService timers, Duration writeLimit, HttpConnection connection, Runnable onComplete) {
        this.timers = timers;
        this.writeLimit = writeLimit;
        this.connection = connection;
        this.onComplete = onComplete;
    }

    /** Marks the response as over, either written or cut off by a closed connection. */
    void complete() {
        if (!completed) {
            completed = true;
            onComplete.run();
        }
    }

    /** Completes when the last write does; closes the connection if that takes longer than the limit. */
    void watch(Future<Void> written) {
        Disposable writeTimeout = timers.after(writeLimit).subscribe(this::abort);
        written.onComplete(ignored -> {
            writeTimeout.dispose();
            complete();
        });
    }

    /** Closes the channel at once; an orderly close would wait for pending writes that the caller does not read. */
    void abort() {
        if (connection instanceof HttpServerConnection serverConnection) {
            var unused = serverConnection.channelHandlerContext().channel().close();
        } else {
            connection.close();
        }
    }
}
