package io.fireflywalk.daemon.endtoend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.daemon.DaemonMain;
import io.fireflywalk.operator.cli.OperatorMain;
import io.fireflywalk.standin.StandinMain;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A daemon, a table service, two engines and a plain service, each in its own process. */
final class FleetProcesses implements AutoCloseable {
    private static final String OPERATOR_KEY = "operator-secret";
    private static final String PORT_PATTERN = "port (\\d+)";

    private final Path directory;
    private final List<ChildProcess> processes = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<ChildProcess> engines = new ArrayList<>();
    private final List<Integer> enginePorts = new ArrayList<>();
    private int plainPort;
    private ChildProcess daemon;
    private String operatorBase = "";
    private String callerBase = "";
    private String apiKey = "";

    FleetProcesses(Path directory) {
        this.directory = directory;
    }

    void start() throws Exception {
        ChildProcess table = startStandin("table-service");
        engines.add(startStandin("model-engine", "--token-milliseconds", "20"));
        engines.add(startStandin("model-engine", "--token-milliseconds", "20"));
        ChildProcess plain = startStandin("plain-service", "--answer-milliseconds", "100");
        int tablePort = table.awaitNumber(PORT_PATTERN);
        for (ChildProcess engine : engines) {
            enginePorts.add(engine.awaitNumber(PORT_PATTERN));
        }
        plainPort = plain.awaitNumber(PORT_PATTERN);
        Path settings = Files.writeString(
                directory.resolve("daemon.yaml"), """
                instance: {name: first}
                listen: {callerPort: 0, operatorPort: 0, peerPort: 0}
                tableService: {port: %d}
                shutdown: {balancerDelayMilliseconds: 300}
                targets: {gapMilliseconds: 2000}
                operatorKeys: [{name: tester, digest: "%s"}]
                """.formatted(tablePort, SecretDigest.of(OPERATOR_KEY)));
        daemon = ChildProcess.start(
                directory.resolve("daemon.log"), DaemonMain.class, "run", "--settings", settings.toString());
        processes.add(daemon);
        String ports = daemon.awaitLine();
        operatorBase = "http://127.0.0.1:" + ChildProcess.numberIn(ports, "operator=(\\d+)");
        callerBase = "http://127.0.0.1:" + ChildProcess.numberIn(ports, "caller=(\\d+)");
        applyConfiguration(false);
        apiKey = runOperatorClient("key", "create", "--account", "county", "--name", "morning")
                .strip();
        while (get("/v1/models").statusCode() != 200) {
            Thread.sleep(50);
        }
    }

    /** Applies the configuration, with the first engine either in rotation or draining. */
    void applyConfiguration(boolean firstEngineDraining) throws Exception {
        Path file = Files.writeString(directory.resolve("fleet.yaml"), """
                clientAccounts:
                  - {name: county, shareWeight: 1.0, maximumConcurrentRequests: 100}
                services:
                  - {name: draft, type: MODEL, routes: [], defaultDeadlineMilliseconds: 60000, minimumTargets: 1}
                  - name: billing
                    type: PLAIN
                    routes: [{pathPrefix: /billing, methods: [GET, POST], openToAll: false, idempotent: false}]
                    defaultDeadlineMilliseconds: 10000
                    minimumTargets: 1
                targets:
                  - {name: draft-0, service: draft, host: 127.0.0.1, port: %d, availabilityZone: zone-a,
                     modelVersion: "1", charge: REGULAR, orderChecking: CHECKS_FENCING_TOKEN, leaving: %s}
                  - {name: draft-1, service: draft, host: 127.0.0.1, port: %d, availabilityZone: zone-b,
                     modelVersion: "1", charge: REGULAR, orderChecking: CHECKS_FENCING_TOKEN, leaving: false}
                  - {name: billing-1, service: billing, host: 127.0.0.1, port: %d, availabilityZone: zone-a,
                     modelVersion: "", charge: REGULAR, orderChecking: IGNORES_FENCING_TOKEN, leaving: false}
                """.formatted(
                        enginePorts.get(0), firstEngineDraining, enginePorts.get(1), plainPort));
        runOperatorClient("apply", "--file", file.toString());
    }

    String apiKey() {
        return apiKey;
    }

    ChildProcess daemon() {
        return daemon;
    }

    ChildProcess engine(int index) {
        return engines.get(index);
    }

    /** Returns the number of requests that the engine is running. */
    int runningRequests(int engine) throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + enginePorts.get(engine) + "/engine/v1/load");
        String load = client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                .body();
        return ChildProcess.numberIn(load, "\"runningRequests\":(\\d+)");
    }

    String metrics() throws IOException, InterruptedException {
        URI uri = URI.create(operatorBase + "/metrics");
        return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                .body();
    }

    HttpResponse<String> get(String path) throws IOException, InterruptedException {
        return client.send(request(path).build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> post(String path, String body) throws IOException, InterruptedException {
        HttpRequest request =
                request(path).POST(HttpRequest.BodyPublishers.ofString(body)).build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(callerBase + path)).header("authorization", "Bearer " + apiKey);
    }

    private ChildProcess startStandin(String... arguments) throws IOException {
        ChildProcess process =
                ChildProcess.start(directory.resolve(arguments[0] + ".log"), StandinMain.class, arguments);
        processes.add(process);
        return process;
    }

    private String runOperatorClient(String... arguments) throws IOException, InterruptedException {
        List<String> allArguments = new ArrayList<>(List.of(arguments));
        allArguments.addAll(List.of("--server", operatorBase, "--reason", "test", "--operator-key", OPERATOR_KEY));
        Path log = directory.resolve("operator.log");
        try (ChildProcess process = ChildProcess.start(log, OperatorMain.class, allArguments.toArray(new String[0]))) {
            String output = process.awaitOutput();
            assertEquals(0, process.awaitExit(), output);
            return output;
        }
    }

    @Override
    public void close() {
        processes.forEach(ChildProcess::close);
    }
}
