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

/** A daemon with a table service, two engines and a plain service, each a process. */
final class FleetProcesses implements AutoCloseable {
    private static final String OPERATOR_KEY = "operator-secret";
    private static final String LISTENING = "port (\\d+)";

    private final Path directory;
    private final List<ChildProcess> processes = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<ChildProcess> engines = new ArrayList<>();
    private final List<Integer> enginePorts = new ArrayList<>();
    private int plainPort;
    private ChildProcess daemon;
    private String operatorServer = "";
    private String callerBase = "";
    private String key = "";

    FleetProcesses(Path directory) {
        this.directory = directory;
    }

    void start() throws Exception {
        ChildProcess table = standin("table-service");
        engines.add(standin("model-engine", "--token-milliseconds", "20"));
        engines.add(standin("model-engine", "--token-milliseconds", "20"));
        ChildProcess plain = standin("plain-service", "--answer-milliseconds", "100");
        int tablePort = table.awaitNumber(LISTENING);
        for (ChildProcess engine : engines) {
            enginePorts.add(engine.awaitNumber(LISTENING));
        }
        plainPort = plain.awaitNumber(LISTENING);
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
        operatorServer = "http://127.0.0.1:" + ChildProcess.numberIn(ports, "operator=(\\d+)");
        callerBase = "http://127.0.0.1:" + ChildProcess.numberIn(ports, "caller=(\\d+)");
        apply(false);
        key = operator("key", "create", "--account", "county", "--name", "morning")
                .strip();
        while (get("/v1/models").statusCode() != 200) {
            Thread.sleep(50);
        }
    }

    /** Applies the configuration, with the first engine in service or leaving. */
    void apply(boolean firstEngineLeaving) throws Exception {
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
                        enginePorts.get(0), firstEngineLeaving, enginePorts.get(1), plainPort));
        operator("apply", "--file", file.toString());
    }

    String key() {
        return key;
    }

    ChildProcess daemon() {
        return daemon;
    }

    ChildProcess engine(int index) {
        return engines.get(index);
    }

    /** Returns how many requests the engine runs now. */
    int running(int engine) throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + enginePorts.get(engine) + "/engine/v1/load");
        String load = client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                .body();
        return ChildProcess.numberIn(load, "\"runningRequests\":(\\d+)");
    }

    String metrics() throws IOException, InterruptedException {
        URI uri = URI.create(operatorServer + "/metrics");
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
        return HttpRequest.newBuilder(URI.create(callerBase + path)).header("authorization", "Bearer " + key);
    }

    private ChildProcess standin(String... arguments) throws IOException {
        ChildProcess process =
                ChildProcess.start(directory.resolve(arguments[0] + ".log"), StandinMain.class, arguments);
        processes.add(process);
        return process;
    }

    private String operator(String... arguments) throws IOException, InterruptedException {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of("--server", operatorServer, "--reason", "test", "--operator-key", OPERATOR_KEY));
        Path log = directory.resolve("operator.log");
        try (ChildProcess process = ChildProcess.start(log, OperatorMain.class, all.toArray(new String[0]))) {
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
