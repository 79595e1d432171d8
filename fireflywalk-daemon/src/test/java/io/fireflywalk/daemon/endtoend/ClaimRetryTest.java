package io.fireflywalk.daemon.endtoend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import io.fireflywalk.services.object.InMemoryObjectStore;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.standin.ObjectStoreServer;
import io.fireflywalk.standin.PlainServiceServer;
import io.fireflywalk.standin.TableServiceServer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a retry at another process gets the stored response, small or large, and is not executed again. */
class ClaimRetryTest {
    private static final String HOST = "127.0.0.1";
    private static final int LARGE_BODY_CHARACTERS = 100_000;

    @TempDir
    private Path directory;

    private final InMemoryTableService tables = new InMemoryTableService();
    private final HttpClient client = HttpClient.newHttpClient();

    @Test
    void retryAtAnotherInstanceGetsTheStoredResponse() throws Exception {
        Vertx vertx = Vertx.vertx();
        int tablePort = awaitPort(new TableServiceServer(vertx, tables).listen(HOST, 0));
        int objectPort = awaitPort(new ObjectStoreServer(vertx, new InMemoryObjectStore()).listen(HOST, 0));
        commitConfiguration(awaitPort(new PlainServiceServer(vertx).listen(HOST, 0)));
        try (ChildProcess first = startInstance("first", "zone-a", tablePort, objectPort);
                ChildProcess second = startInstance("second", "zone-b", tablePort, objectPort)) {
            int firstPort = first.awaitNumber("caller=(\\d+)");
            int secondPort = second.awaitNumber("caller=(\\d+)");
            awaitReady(firstPort);
            awaitReady(secondPort);
            for (String body : List.of("entry", "x".repeat(LARGE_BODY_CHARACTERS))) {
                String key = "key-" + body.length();
                HttpResponse<String> response = post(firstPort, key, body);
                HttpResponse<String> retry = post(secondPort, key, body);
                assertEquals(200, response.statusCode(), response.body());
                assertEquals(200, retry.statusCode(), retry.body());
                assertTrue(response.body().contains("\"execution\""), response.body());
                assertEquals(response.body(), retry.body());
                HttpResponse<String> mismatch = post(secondPort, key, "another entry");
                assertEquals(422, mismatch.statusCode(), mismatch.body());
                assertTrue(mismatch.body().contains("\"run_state\":\"NOT_RUN\""), mismatch.body());
            }
        } finally {
            vertx.close();
        }
    }

    private HttpResponse<String> post(int port, String key, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + "/billing/entries"))
                .header("authorization", "Bearer morning.secret")
                .header("idempotency-key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private void awaitReady(int port) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + "/v1/models"))
                .header("authorization", "Bearer morning.secret")
                .build();
        while (client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() != 200) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private ChildProcess startInstance(String name, String zone, int tablePort, int objectPort) throws IOException {
        Path settings =
                Files.writeString(directory.resolve(name + ".yaml"), """
                instance: {name: %s, availabilityZone: %s}
                listen: {callerPort: 0, operatorPort: 0, peerPort: 0}
                tableService: {port: %d}
                claims: {objectStorePort: %d}
                """.formatted(name, zone, tablePort, objectPort));
        Path log = directory.resolve(name + ".log");
        return ChildProcess.start(log, DaemonMain.class, "run", "--settings", settings.toString());
    }

    private void commitConfiguration(int plainPort) {
        Route route = new Route("/billing", Set.of("GET", "POST"), false, false);
        List<ConfigurationDocument> documents = List.of(
                new ClientAccount("county", 1, 100),
                new ApiKey("morning", "county", SecretDigest.of("secret"), false),
                new Service("billing", ServiceType.PLAIN, List.of(route), 10_000, 1),
                new Target(
                        "billing-1",
                        "billing",
                        HOST,
                        plainPort,
                        "zone-a",
                        "",
                        TargetCharge.REGULAR,
                        OrderChecking.IGNORES_FENCING_TOKEN,
                        false));
        List<DocumentChange> changes =
                documents.stream().map(DocumentChange::put).toList();
        ChangeRecord entry = new ChangeRecord(1, "test", "test", 0, DocumentCodec.toMessages(changes));
        new ConfigurationRepository(tables)
                .commit("test", 0, changes, entry)
                .ignoreElement()
                .blockingAwait();
    }

    private static int awaitPort(Future<Integer> listening) throws Exception {
        return listening.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
}
