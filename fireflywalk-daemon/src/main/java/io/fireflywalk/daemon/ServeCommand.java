package io.fireflywalk.daemon;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.ingress.IngressDaemon;
import io.fireflywalk.daemon.ingress.IngressPlatformFactory;
import io.fireflywalk.daemon.ingress.IngressSettings;
import io.fireflywalk.services.http.BoundedReadTransport;
import io.fireflywalk.services.time.VertxTimerService;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.ServiceLoader;
import org.jboss.logging.Logger;

/** Runs an ingress process with the platform adapter on the class path. */
final class ServeCommand {
    private static final Logger LOG = Logger.getLogger(ServeCommand.class);
    private static final int EXIT_FAILURE = 1;

    private ServeCommand() {}

    static void run(IngressSettings settings) throws FireflywalkException {
        IngressPlatformFactory factory = ServiceLoader.load(IngressPlatformFactory.class)
                .findFirst()
                .orElseThrow(() -> new FireflywalkException(
                        ErrorKind.CONFIGURATION_INVALID, "no platform adapter on the class path", "serve"));
        // Errors of disposed streams reach no subscriber; the default handler would treat them as uncaught exceptions
        // of the thread.
        RxJavaPlugins.setErrorHandler(cause -> LOG.warnf("event=undeliverable_error cause=\"%s\"", cause));
        VertxOptions options = new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(new FileSystemOptions()
                        .setClassPathResolvingEnabled(false)
                        .setFileCachingEnabled(false));
        Vertx vertx = Vertx.builder()
                .with(options)
                .withTransport(new BoundedReadTransport(IngressDaemon.acceptBounds(settings)))
                .build();
        Context context = vertx.getOrCreateContext();
        context.runOnContext(ignored -> {
            VertxTimerService timers = new VertxTimerService(vertx, context);
            IngressDaemon daemon = new IngressDaemon(vertx, settings, factory.create(vertx, settings), timers);
            daemon.start().onFailure(cause -> {
                LOG.errorf("event=start_failed cause=\"%s\"", cause);
                LogConfigurator.flush();
                Runtime.getRuntime().halt(EXIT_FAILURE);
            });
            ShutdownHook.install(context, daemon::shutDown);
            SighupHandler.install(() -> context.runOnContext(unused -> daemon.settingsChanged()));
        });
    }
}
