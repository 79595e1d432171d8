package io.fireflywalk.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.fireflywalk.platform.object.InMemoryObjectStore;
import io.fireflywalk.platform.table.InMemoryTableService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/** Command line of the stand-in processes. Prints the port that it listens on as its first line. */
public final class StandinMain {
    private static final int EXIT_USAGE = 2;

    private StandinMain() {}

    /** Options that all stand-ins share. */
    static class ListenOptions {
        @Parameter(names = "--host", description = "IP address to listen on")
        String host = "127.0.0.1";

        @Parameter(names = "--port", description = "TCP port to listen on; 0 takes a free one")
        int port = 0;
    }

    /** Options of the model engine. */
    static final class EngineOptions extends ListenOptions {
        @Parameter(names = "--model", description = "Model that the engine serves")
        String model = "draft";

        @Parameter(names = "--model-version", description = "Version of the model")
        String modelVersion = "1";

        @Parameter(names = "--token-milliseconds", description = "Time between tokens, in milliseconds")
        long tokenMilliseconds = 5;
    }

    /** Starts the stand-in that the arguments name. */
    public static void main(String[] arguments) {
        ListenOptions table = new ListenOptions();
        EngineOptions engine = new EngineOptions();
        ListenOptions plain = new ListenOptions();
        ListenOptions reports = new ListenOptions();
        ListenOptions objects = new ListenOptions();
        JCommander commander = JCommander.newBuilder()
                .programName("fireflywalk-standin")
                .addCommand("table-service", table)
                .addCommand("model-engine", engine)
                .addCommand("plain-service", plain)
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
        Future<Integer> port =
                switch (commander.getParsedCommand()) {
                    case "table-service" ->
                        new TableServiceServer(vertx, new InMemoryTableService()).listen(table.host, table.port);
                    case "model-engine" ->
                        new ModelEngineServer(vertx, engine.model, engine.modelVersion, engine.tokenMilliseconds)
                                .listen(engine.host, engine.port);
                    case "usage-reports" -> new UsageReportServer(vertx).listen(reports.host, reports.port);
                    case "object-store" ->
                        new ObjectStoreServer(vertx, new InMemoryObjectStore()).listen(objects.host, objects.port);
                    default -> new PlainServiceServer(vertx).listen(plain.host, plain.port);
                };
        port.onSuccess(bound -> System.out.println("listening on port " + bound))
                .onFailure(cause -> {
                    System.err.println("fireflywalk-standin: " + cause.getMessage());
                    System.exit(1);
                });
    }
}
