package io.fireflywalk.daemon;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Context;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/** Shuts the daemon down gracefully on SIGTERM or SIGINT. */
final class ShutdownHook {
    private static final Logger LOG = Logger.getLogger(ShutdownHook.class);

    private ShutdownHook() {}

    static void install(Context context, Supplier<Completable> shutDown) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> awaitShutdown(context, shutDown), "shutdown"));
    }

    /** Exits from another thread, because System.exit waits for shutdown hooks, which need the event loop. */
    static void exitInBackground() {
        new Thread(() -> System.exit(0), "drain-request").start();
    }

    private static void awaitShutdown(Context context, Supplier<Completable> shutDown) {
        CountDownLatch stopped = new CountDownLatch(1);
        context.runOnContext(ignored -> {
            Disposable unused = shutDown.get().subscribe(stopped::countDown, cause -> {
                LOG.errorf(cause, "event=shutdown_failed");
                stopped.countDown();
            });
        });
        try {
            stopped.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        LogConfigurator.flush();
        // A JVM terminated by a signal exits with 128 plus the signal number; a graceful shutdown must exit with 0.
        Runtime.getRuntime().halt(0);
    }
}
