package io.fireflywalk.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.order.EngineAssignment;
import io.fireflywalk.core.order.EngineRole;
import io.fireflywalk.services.object.InMemoryObjectStore;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.time.TimerService;
import io.fireflywalk.services.time.VertxTimerService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Command line that starts one stand-in server and prints the bound port as its first line. */
public final class StandinMain {
    private static final int EXIT_USAGE = 2;

    private StandinMain() {}

    /** Options of every stand-in. */
    static class ListenOptions {
        @Parameter(names = "--host", description = "IP address to listen on")
        String host = "127.0.0.1";

        @Parameter(names = "--port", description = "TCP port to listen on; 0 picks a free port")
        int port = 0;
    }

    /** Options of the model engine. */
    static final class EngineOptions extends ListenOptions {
        @Parameter(names = "--model", description = "Model that the engine serves")
        String model = "draft";

        @Parameter(names = "--model-version", description = "Version of the model")
        String modelVersion = "1";

        @Parameter(names = "--token-milliseconds", description = "Time between tokens, in milliseconds")
        long tokenIntervalMilliseconds = 5;

        @Parameter(names = "--order-checking", description = "Whether the engine checks fencing tokens")
        OrderChecking orderChecking = OrderChecking.CHECKS_FENCING_TOKEN;

        @Parameter(
                names = "--change-milliseconds",
                description = "Duration of a change of role or model, in milliseconds")
        long changeMilliseconds = 2000;
    }

    /** Options of the platform's target API. */
    static final class PlatformOptions extends ListenOptions {
        @Parameter(names = "--instance-lag-milliseconds", description = "Lag of the instance list, in milliseconds")
        long instanceLagMilliseconds = 1000;
    }

    /** Options of the plain service. */
    static final class PlainOptions extends ListenOptions {
        @Parameter(names = "--answer-milliseconds", description = "Response delay, in milliseconds")
        long responseDelayMilliseconds = 0;
    }

    /** Starts the stand-in that the command names. */
    public static void main(String[] arguments) {
        ListenOptions table = new ListenOptions();
        EngineOptions engine = new EngineOptions();
        PlainOptions plain = new PlainOptions();
        PlatformOptions platform = new PlatformOptions();
        ListenOptions reports = new ListenOptions();
        ListenOptions objects = new ListenOptions();
        JCommander commander = JCommander.newBuilder()
                .programName("fireflywalk-standin")
                .addCommand("table-service", table)
                .addCommand("model-engine", engine)
                .addCommand("plain-service", plain)
                .addCommand("platform", platform)
                .addCommand("usage-reports", reports)
                .addCommand("object-store", objects)
                .build();
        try {
            commander.parse(arguments);
        } catch (ParameterException exception) {
            System.err.println("fireflywalk-standin: " + exception.getMessage());
            System.exit(EXIT_USAGE);
            return;
        }
        if (commander.getParsedCommand() == null) {
            commander.usage();
            System.exit(EXIT_USAGE);
            return;
        }
        Vertx vertx = Vertx.vertx();
        TimerService timers = new VertxTimerService(vertx, vertx.getOrCreateContext());
        Future<Integer> port =
                switch (commander.getParsedCommand()) {
                    case "table-service" ->
                        new TableServiceServer(vertx, new InMemoryTableService()).listen(table.host, table.port);
                    case "model-engine" ->
                        new ModelEngineServer(
                                        vertx, engine.model, engine.modelVersion, engine.tokenIntervalMilliseconds)
                                .withOrderHandler(orderHandler(engine, timers))
                                .listen(engine.host, engine.port);
                    case "platform" ->
                        new PlatformServer(
                                        vertx,
                                        new SimulatedPlatform(toNanoseconds(platform.instanceLagMilliseconds), true),
                                        timers)
                                .listen(platform.host, platform.port);
                    case "usage-reports" -> new UsageReportServer(vertx).listen(reports.host, reports.port);
                    case "object-store" ->
                        new ObjectStoreServer(vertx, new InMemoryObjectStore()).listen(objects.host, objects.port);
                    default ->
                        new PlainServiceServer(vertx, plain.responseDelayMilliseconds).listen(plain.host, plain.port);
                };
        port.onSuccess(bound -> System.out.println("listening on port " + bound))
                .onFailure(cause -> {
                    System.err.println("fireflywalk-standin: " + cause.getMessage());
                    System.exit(1);
                });
    }

    private static EngineOrderHandler orderHandler(EngineOptions engine, TimerService timers) {
        EngineAssignment initial = new EngineAssignment(EngineRole.MIXED, engine.model, engine.modelVersion, List.of());
        return new EngineOrderHandler(
                new SimulatedOrderEngine(engine.orderChecking, initial, toNanoseconds(engine.changeMilliseconds)),
                timers);
    }

    private static long toNanoseconds(long milliseconds) {
        return TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }
}
