package io.fireflywalk.daemon.operators;

import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Vertx;
import io.vertx.core.file.FileSystem;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.ServerSSLOptions;
import java.time.Duration;
import java.util.Optional;
import org.jboss.logging.Logger;

/** Reloads the certificate and key files when they change, without a restart. Confined to one event loop. */
final class TlsReloader {
    private static final Logger LOG = Logger.getLogger(TlsReloader.class);
    private static final Duration CHECK_PERIOD = Duration.ofSeconds(10);

    private final FileSystem files;
    private final TimerService timers;
    private final DaemonSettings.OperatorTls settings;
    private long loadedModificationTime;
    private Optional<Disposable> subscription = Optional.empty();

    TlsReloader(Vertx vertx, TimerService timers, DaemonSettings.OperatorTls settings) {
        this.files = vertx.fileSystem();
        this.timers = timers;
        this.settings = settings;
    }

    /** Returns server options, with TLS if certificate files are configured. */
    HttpServerOptions serverOptions() {
        HttpServerOptions options = new HttpServerOptions();
        if (isEnabled()) {
            loadedModificationTime = modificationTime();
            options.setSsl(true).setKeyCertOptions(keyCertOptions());
        }
        return options;
    }

    /** Starts checking the files for changes. */
    void start(HttpServer server) {
        if (isEnabled()) {
            subscription = Optional.of(timers.every(CHECK_PERIOD).subscribe(tick -> reloadIfChanged(server)));
        }
    }

    void stop() {
        subscription.ifPresent(Disposable::dispose);
    }

    private boolean isEnabled() {
        return !settings.certificateFile().isEmpty();
    }

    private void reloadIfChanged(HttpServer server) {
        long currentModificationTime = modificationTime();
        if (currentModificationTime == loadedModificationTime) {
            return;
        }
        ServerSSLOptions options = new ServerSSLOptions();
        options.setKeyCertOptions(keyCertOptions());
        // Forces the update, because options with unchanged file names compare equal to the previous ones.
        server.updateSSLOptions(options, true)
                .onSuccess(updated -> {
                    loadedModificationTime = currentModificationTime;
                    LOG.infof("event=operator_tls_reloaded file=%s", settings.certificateFile());
                })
                .onFailure(cause -> LOG.errorf("event=operator_tls_reload_failed cause=\"%s\"", cause.getMessage()));
    }

    private long modificationTime() {
        try {
            return files.propsBlocking(settings.certificateFile()).lastModifiedTime()
                    + files.propsBlocking(settings.keyFile()).lastModifiedTime();
        } catch (io.vertx.core.file.FileSystemException exception) {
            LOG.errorf("event=operator_tls_unreadable cause=\"%s\"", exception.getMessage());
            return loadedModificationTime;
        }
    }

    private PemKeyCertOptions keyCertOptions() {
        return new PemKeyCertOptions().setCertPath(settings.certificateFile()).setKeyPath(settings.keyFile());
    }
}
