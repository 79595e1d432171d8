package io.fireflywalk.daemon.gateway;

import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.time.Duration;

/**
 * Watches the end of one answer until its last byte has been handed to the operating system. A caller that takes nothing
 * for too long loses its connection, so that it cannot hold memory or a shutdown. Confined to one event loop.
 */
final class ResponseEnd {
    private final TimerService timers;
    private final Duration limit;
    private final HttpConnection connection;
    private final Runnable whenEnded;
    private boolean ended;

    ResponseEnd(TimerService timers, Duration limit, HttpConnection connection, Runnable whenEnded) {
        this.timers = timers;
        this.limit = limit;
        this.connection = connection;
        this.whenEnded = whenEnded;
    }

    /** Notes that the answer is over, whether it was written or its connection is closed. */
    void ended() {
        if (!ended) {
            ended = true;
            whenEnded.run();
        }
    }

    /** Waits for the last write, up to the limit. */
    void watch(Future<Void> written) {
        Disposable late = timers.after(limit).subscribe(this::abort);
        written.onComplete(ignored -> {
            late.dispose();
            ended();
        });
    }

    /** Closes the connection at once; the orderly close would wait for what the caller does not take. */
    void abort() {
        if (connection instanceof HttpServerConnection serverConnection) {
            var unused = serverConnection.channelHandlerContext().channel().close();
        } else {
            connection.close();
        }
    }
}
