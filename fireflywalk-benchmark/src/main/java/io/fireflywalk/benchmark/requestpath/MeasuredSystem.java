package io.fireflywalk.benchmark.requestpath;

import io.fireflywalk.core.configuration.ApiKey;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.ConfigurationDocument;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Route;
import io.fireflywalk.core.configuration.Service;
import io.fireflywalk.core.configuration.ServiceType;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.daemon.DaemonMain;
import io.fireflywalk.services.configuration.ChangeRecord;
import io.fireflywalk.services.configuration.ConfigurationRepository;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.fireflywalk.services.table.HttpTableService;
import io.fireflywalk.services.time.TimerService;
import io.fireflywalk.standin.StandinMain;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * A table service, model engines, a plain service and three daemons in different availability zones, each in its own
 * process. The first daemon receives all load; the others hold copies of its usage records, since without such copies
 * each response would wait for the table service. Not thread-safe.
 */
final class MeasuredSystem implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    static final String BEARER_TOKEN = "load.secret";

    private static final String STANDIN_HEAP = "512m";
    private static final String DAEMON_HEAP = "256m";
    private static final int MAX_CONCURRENT_REQUESTS = 100_000;
    private static final long REQUEST_DEADLINE_MILLISECONDS = 600_000;

    private static final int DAEMON_COUNT = 3;
    private static final Duration MEMBERSHIP_POLL_INTERVAL = Duration.ofMillis(200);

    private final List<SystemProcess> processes = new ArrayList<>();
    private final List<Integer> enginePorts = new ArrayList<>();
    private final int plainPort;
    private final SystemProcess daemon;
    private final int callerPort;
    private final int operatorPort;

    MeasuredSystem(Vertx vertx, TimerService timers, int engines, long tokenMilliseconds)
            throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("fireflywalk-benchmark");
        int tablePort = startStandin(directory, "table-service");
        plainPort = startStandin(directory, "plain-service");
        for (int index = 0; index < engines; index++) {
            enginePorts.add(
                    startStandin(directory, "model-engine", "--token-milliseconds", Long.toString(tokenMilliseconds)));
        }
        writeConfiguration(vertx, tablePort);
        List<SystemProcess> daemons = new ArrayList<>();
        for (int index = 0; index < DAEMON_COUNT; index++) {
            daemons.add(startDaemon(directory, index, tablePort));
        }
        daemon = daemons.get(0);
        String ports = daemon.awaitLine();
        callerPort = SystemProcess.extractNumber(ports, "caller=(\\d+)");
        operatorPort = SystemProcess.extractNumber(ports, "operator=(\\d+)");
        awaitMembers(timers);
    }

    private SystemProcess startDaemon(Path directory, int index, int tablePort) throws IOException {
        Path settings = Files.writeString(
                directory.resolve("daemon-" + index + ".yaml"), """
                instance: {name: measured-%d, availabilityZone: zone-%d}
                listen: {callerPort: 0, operatorPort: 0, peerPort: 0}
                tableService: {port: %d}
                """.formatted(index, index, tablePort));
        SystemProcess process = SystemProcess.start(
                directory.resolve("daemon-" + index + ".log"),
                DAEMON_HEAP,
                DaemonMain.class,
                "run",
                "--settings",
                settings.toString());
        processes.add(process);
        return process;
    }

    private void awaitMembers(TimerService timers) throws IOException, InterruptedException {
        HttpClient client = HttpClient.newHttpClient();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + operatorPort + "/metrics"))
                .build();
        String expectedMetric = "fireflywalk_members_live " + DAEMON_COUNT;
        while (!client.send(request, HttpResponse.BodyHandlers.ofString())
                .body()
                .contains(expectedMetric)) {
            timers.after(MEMBERSHIP_POLL_INTERVAL).blockingAwait();
        }
    }

    int callerPort() {
        return callerPort;
    }

    int operatorPort() {
        return operatorPort;
    }

    int plainPort() {
        return plainPort;
    }

    List<Integer> enginePorts() {
        return List.copyOf(enginePorts);
    }

    SystemProcess daemon() {
        return daemon;
    }

    @Override
    public void close() {
        processes.forEach(SystemProcess::close);
    }

    private int startStandin(Path directory, String... arguments) throws IOException {
        SystemProcess process = SystemProcess.start(
                directory.resolve(arguments[0] + ".log"), STANDIN_HEAP, StandinMain.class, arguments);
        processes.add(process);
        return process.awaitPort();
    }

    private void writeConfiguration(Vertx vertx, int tablePort) {
        List<ConfigurationDocument> documents = new ArrayList<>(List.of(
                new ClientAccount("load", 1, MAX_CONCURRENT_REQUESTS),
                new ApiKey("load", "load", SecretDigest.of("secret"), false),
                new Service("draft", ServiceType.MODEL, List.of(), REQUEST_DEADLINE_MILLISECONDS, 1),
                new Service(
                        "billing",
                        ServiceType.PLAIN,
                        List.of(new Route("/billing", Set.of("GET"), false, true)),
                        REQUEST_DEADLINE_MILLISECONDS,
                        1),
                target("billing-1", "billing", plainPort, "")));
        for (int port : enginePorts) {
            documents.add(target("draft-" + port, "draft", port, "1"));
        }
        List<DocumentChange> changes =
                documents.stream().map(DocumentChange::put).toList();
        ChangeRecord entry = new ChangeRecord(1, "benchmark", "load", 0, DocumentCodec.toMessages(changes));
        new ConfigurationRepository(new HttpTableService(vertx, HOST, tablePort, Duration.ofSeconds(5)))
                .commit("benchmark", 0, changes, entry)
                .ignoreElement()
                .blockingAwait();
    }

    private static Target target(String name, String service, int port, String modelVersion) {
        return new Target(
                name,
                service,
                HOST,
                port,
                "zone-a",
                modelVersion,
                TargetCharge.REGULAR,
                OrderChecking.CHECKS_FENCING_TOKEN,
                false);
    }
}
