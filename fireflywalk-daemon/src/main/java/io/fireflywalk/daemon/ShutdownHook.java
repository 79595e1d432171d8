package io.fireflywalk.daemon;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Context;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;

/** Drains the daemon when the process gets SIGTERM or SIGINT. */
final class ShutdownHook {
    private ShutdownHook() {}

    static void install(Context context, Supplier<Completable> shutDown) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(context, shutDown), "shutdown"));
    }

    /** Ends the process from another thread, because the exit waits for hooks that need the event loop. */
    static void exitInBackground() {
        new Thread(() -> System.exit(0), "drain-request").start();
    }

    private static void drain(Context context, Supplier<Completable> shutDown) {
        CountDownLatch stopped = new CountDownLatch(1);
        context.runOnContext(ignored -> {
            Disposable unused = shutDown.get().subscribe(stopped::countDown, cause -> stopped.countDown());
        });
        try {
            stopped.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        // The exit status of a JVM that a signal ends is 128 plus the signal; a graceful shutdown must report 0.
        Runtime.getRuntime().halt(0);
    }
}
