package io.fireflywalk.daemon.endtoend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the path from caller to target with real processes: stand-ins, two daemons and the operator client. */
class EndToEndTest {
    private static final String OPERATOR_KEY = "operator-secret";
    private static final String PORT_PATTERN = "port (\\d+)";

    @TempDir
    private Path directory;

    private final HttpClient client = HttpClient.newHttpClient();
    private ChildProcess tableService;
    private ChildProcess engine;
    private ChildProcess plainService;
    private Path configurationFile;

    @BeforeEach
    void startStandins() throws IOException {
        tableService = startStandin("table-service");
        engine = startStandin("model-engine");
        plainService = startStandin("plain-service");
        int enginePort = engine.awaitNumber(PORT_PATTERN);
        int plainPort = plainService.awaitNumber(PORT_PATTERN);
        configurationFile = Files.writeString(directory.resolve("fleet.yaml"), """
                clientAccounts:
                  - {name: county, shareWeight: 1.0, maximumConcurrentRequests: 10}
                services:
                  - {name: draft, type: MODEL, routes: [], defaultDeadlineMilliseconds: 60000, minimumTargets: 1}
                  - name: billing
                    type: PLAIN
                    routes: [{pathPrefix: /billing, methods: [GET, POST], openToAll: false, idempotent: false}]
                    defaultDeadlineMilliseconds: 10000
                    minimumTargets: 1
                targets:
                  - {name: draft-1, service: draft, host: 127.0.0.1, port: %d, availabilityZone: zone-a,
                     modelVersion: "1", charge: REGULAR, orderChecking: CHECKS_FENCING_TOKEN, leaving: false}
                  - {name: billing-1, service: billing, host: 127.0.0.1, port: %d, availabilityZone: zone-a,
                     modelVersion: "", charge: REGULAR, orderChecking: IGNORES_FENCING_TOKEN, leaving: false}
                """.formatted(enginePort, plainPort));
    }

    @AfterEach
    void stopStandins() {
        List.of(tableService, engine, plainService).forEach(ChildProcess::close);
    }

    @Test
    void callerGetsStreamedResponsesThroughBothInstancesAndUsageIsRecorded() throws Exception {
        int tablePort = tableService.awaitNumber(PORT_PATTERN);
        try (ChildProcess first = startDaemon("first", "zone-a", tablePort);
                ChildProcess second = startDaemon("second", "zone-b", tablePort)) {
            String firstPorts = first.awaitLine();
            String secondPorts = second.awaitLine();
            String server = "http://127.0.0.1:" + ChildProcess.numberIn(firstPorts, "operator=(\\d+)");
            String applied = runOperatorClient(
                    "apply", "--server", server, "--reason", "test", "--file", configurationFile.toString());
            // The joins of the two instances also take versions from the log, so the version of this change is not
            // fixed.
            assertTrue(applied.matches("version [1-9][0-9]* accepted, 5 documents changed\\s*"), applied);
            String key = runOperatorClient(
                            "key",
                            "create",
                            "--server",
                            server,
                            "--reason",
                            "test",
                            "--account",
                            "county",
                            "--name",
                            "morning")
                    .strip();
            for (String ports : List.of(firstPorts, secondPorts)) {
                awaitReady(ChildProcess.numberIn(ports, "operator=(\\d+)"));
                String base = "http://127.0.0.1:" + ChildProcess.numberIn(ports, "caller=(\\d+)");
                awaitKeyAccepted(base, key);
                HttpResponse<String> response = call(
                        base + "/v1/chat/completions",
                        key,
                        "{\"model\":\"draft\",\"stream\":true,\"max_tokens\":5,\"messages\":[]}");
                assertEquals(200, response.statusCode(), response.body());
                assertTrue(response.body().contains("id: 4\n"), response.body());
                assertTrue(response.body().endsWith("data: [DONE]\n\n"), response.body());
                HttpResponse<String> plain = call(base + "/billing/entries", key, "entry");
                assertTrue(plain.body().contains("\"body\":\"entry\""), plain.body());
                assertTrue(!plain.body().contains("authorization"), plain.body());
            }
            String status = runOperatorClient("status", "--server", server);
            assertTrue(status.contains("second"), () -> "no second member in: " + status);
            assertTrue(status.contains("billing-1"), () -> "no target in: " + status);
            first.terminate();
            second.terminate();
            assertEquals(0, first.awaitExit());
            assertEquals(0, second.awaitExit());
        }
        try (ChildProcess third = startDaemon("third", "zone-a", tablePort)) {
            String server = "http://127.0.0.1:" + ChildProcess.numberIn(third.awaitLine(), "operator=(\\d+)");
            String usage = runOperatorClient("usage", "--output", "json", "--server", server);
            assertTrue(usage.contains("\"service\":\"draft\""), usage);
            assertTrue(usage.contains("\"generatedTokens\":5"), usage);
            assertTrue(usage.contains("\"clientAccount\":\"county\""), usage);
        }
    }

    private ChildProcess startStandin(String command) throws IOException {
        return ChildProcess.start(directory.resolve(command + ".log"), StandinMain.class, command);
    }

    private ChildProcess startDaemon(String name, String availabilityZone, int tablePort) throws IOException {
        Path settings = Files.writeString(directory.resolve(name + ".yaml"), """
                instance: {name: %s, availabilityZone: %s}
                listen: {callerPort: 0, operatorPort: 0, peerPort: 0}
                tableService: {port: %d}
                shutdown: {balancerDelayMilliseconds: 100}
                operatorKeys: [{name: tester, digest: "%s"}]
                """.formatted(
                        name, availabilityZone, tablePort, SecretDigest.of(OPERATOR_KEY)));
        return ChildProcess.start(
                directory.resolve(name + ".log"), DaemonMain.class, "run", "--settings", settings.toString());
    }

    private String runOperatorClient(String... arguments) throws IOException, InterruptedException {
        String[] withKey = java.util.Arrays.copyOf(arguments, arguments.length + 2);
        withKey[arguments.length] = "--operator-key";
        withKey[arguments.length + 1] = OPERATOR_KEY;
        Path log = directory.resolve("operator.log");
        try (ChildProcess process = ChildProcess.start(log, OperatorMain.class, withKey)) {
            String output = process.awaitOutput();
            assertEquals(0, process.awaitExit(), () -> output + logText(log));
            return output;
        }
    }

    private void awaitReady(int operatorPort) throws IOException, InterruptedException {
        URI ready = URI.create("http://127.0.0.1:" + operatorPort + "/health/ready");
        HttpRequest request = HttpRequest.newBuilder(ready).build();
        while (client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() != 200) {
            Thread.sleep(50);
        }
    }

    private void awaitKeyAccepted(String base, String key) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(base + "/v1/models"))
                .header("authorization", "Bearer " + key)
                .build();
        while (client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() != 200) {
            Thread.sleep(50);
        }
    }

    private HttpResponse<String> call(String uri, String key, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
                .header("authorization", "Bearer " + key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String logText(Path log) {
        try {
            return Files.readString(log);
        } catch (IOException exception) {
            return exception.toString();
        }
    }
}
