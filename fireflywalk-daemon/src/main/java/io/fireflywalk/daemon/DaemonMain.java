package io.fireflywalk.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.ingress.EnvironmentSettings;
import io.fireflywalk.daemon.ingress.IngressSettings;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.daemon.settings.SettingsLoader;
import io.fireflywalk.services.http.BoundedReadTransport;
import io.fireflywalk.services.table.HttpTableService;
import io.fireflywalk.services.time.VertxTimerService;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.time.Duration;
import org.jboss.logging.Logger;

/** Command line of the daemon. */
public final class DaemonMain {
    private static final Logger LOG = Logger.getLogger(DaemonMain.class);
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private DaemonMain() {}

    /** Options of the run command. */
    static final class RunOptions {
        @Parameter(names = "--settings", description = "YAML settings file", required = true)
        Path settings;
    }

    /** Options of the serve command. */
    static final class ServeOptions {
        @Parameter(names = "--settings", description = "YAML settings file", required = true)
        Path settings;
    }

    /** Options of the demo command. */
    static final class DemoOptions {
        @Parameter(names = "--port", description = "TCP port for callers")
        int port = 8080;
    }

    /** Parses the command line and runs the selected command. */
    public static void main(String[] arguments) {
        RunOptions run = new RunOptions();
        ServeOptions serve = new ServeOptions();
        DemoOptions demo = new DemoOptions();
        JCommander commander = JCommander.newBuilder()
                .programName("fireflywalkd")
                .addCommand("run", run)
                .addCommand("serve", serve)
                .addCommand("demo", demo)
                .build();
        try {
            commander.parse(arguments);
            if (commander.getParsedCommand() == null) {
                commander.usage();
                System.exit(EXIT_USAGE);
            } else if (commander.getParsedCommand().equals("run")) {
                run(SettingsLoader.load(run.settings));
            } else if (commander.getParsedCommand().equals("serve")) {
                ServeCommand.run(EnvironmentSettings.apply(IngressSettings.load(serve.settings), System.getenv()));
            } else {
                Demo.run(demo.port);
            }
        } catch (ParameterException exception) {
            System.err.println("fireflywalkd: " + exception.getMessage());
            System.exit(EXIT_USAGE);
        } catch (FireflywalkException exception) {
            System.err.println("fireflywalkd: " + exception.getMessage());
            System.exit(EXIT_FAILURE);
        }
    }

    private static void run(DaemonSettings settings) {
        // Errors of disposed streams reach no subscriber; the default handler would treat them as uncaught exceptions
        // of the thread.
        RxJavaPlugins.setErrorHandler(cause -> LOG.warnf("event=undeliverable_error cause=\"%s\"", cause));
        Vertx vertx = Vertx.builder().withTransport(new BoundedReadTransport()).build();
        Context context = vertx.getOrCreateContext();
        context.runOnContext(ignored -> {
            VertxTimerService timers = new VertxTimerService(vertx, context);
            HttpTableService tables = new HttpTableService(
                    vertx,
                    settings.tableService().host(),
                    settings.tableService().port(),
                    Duration.ofMillis(settings.tableService().deadlineMilliseconds()));
            Daemon daemon = new Daemon(vertx, settings, tables, timers, ShutdownHook::exitInBackground);
            daemon.start()
                    .onSuccess(ports -> System.out.println("listening on ports caller=" + ports.callerPort()
                            + " operator=" + ports.operatorPort() + " peer=" + ports.peerPort()))
                    .onFailure(cause -> {
                        System.err.println("fireflywalkd: " + cause.getMessage());
                        LogConfigurator.flush();
                        Runtime.getRuntime().halt(EXIT_FAILURE);
                    });
            ShutdownHook.install(context, daemon::shutDown);
        });
    }
}
