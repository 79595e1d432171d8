package io.fireflywalk.daemon.endtoend;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.configuration.ApiKey;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.ConfigurationDocument;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Service;
import io.fireflywalk.core.configuration.ServiceType;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.core.usage.UsageFigure;
import io.fireflywalk.core.usage.UsageReport;
import io.fireflywalk.daemon.DaemonMain;
import io.fireflywalk.services.configuration.ChangeRecord;
import io.fireflywalk.services.configuration.ConfigurationRepository;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.usage.UsageReportMessage;
import io.fireflywalk.standin.ModelEngineServer;
import io.fireflywalk.standin.TableServiceServer;
import io.fireflywalk.standin.UsageReportServer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that usage reports cover every response that callers received, even after kill -9 of a loaded instance. */
class UsageKillTest {
    private static final String HOST = "127.0.0.1";
    private static final int TOKENS_PER_RESPONSE = 5;
    private static final int CALLER_COUNT = 8;
    private static final long LOAD_MILLISECONDS = 4000;
    private static final long REPORT_TIMEOUT_MILLISECONDS = 40_000;

    @TempDir
    private Path directory;

    private final InMemoryTableService tables = new InMemoryTableService();
    private final AtomicInteger sentRequests = new AtomicInteger();
    private final AtomicInteger receivedResponses = new AtomicInteger();
    private final AtomicBoolean stopped = new AtomicBoolean();

    @Test
    void reportsCoverAllResponsesReceivedFromKilledInstance() throws Exception {
        Vertx vertx = Vertx.vertx();
        UsageReportServer reportServer = new UsageReportServer(vertx);
        int reportPort = awaitPort(reportServer.listen(HOST, 0));
        int tablePort = awaitPort(new TableServiceServer(vertx, tables).listen(HOST, 0));
        commitConfiguration(awaitPort(new ModelEngineServer(vertx, "draft", "1", 1).listen(HOST, 0)));
        try (ChildProcess first = startInstance("first", "zone-a", tablePort, reportPort);
                ChildProcess second = startInstance("second", "zone-b", tablePort, reportPort);
                ChildProcess third = startInstance("third", "zone-c", tablePort, reportPort)) {
            int firstPort = first.awaitNumber("caller=(\\d+)");
            int secondPort = second.awaitNumber("caller=(\\d+)");
            third.awaitNumber("caller=(\\d+)");
            awaitReady(firstPort);
            awaitReady(secondPort);
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLER_COUNT; i++) {
                int callerPort = i % 2 == 0 ? firstPort : secondPort;
                Thread caller = new Thread(() -> callUntilStopped(callerPort));
                caller.start();
                callers.add(caller);
            }
            TimeUnit.MILLISECONDS.sleep(LOAD_MILLISECONDS);
            first.kill();
            TimeUnit.MILLISECONDS.sleep(LOAD_MILLISECONDS / 2);
            stopped.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REPORT_TIMEOUT_MILLISECONDS);
            while (reportedTokens(reportServer) < (long) receivedResponses.get() * TOKENS_PER_RESPONSE
                    && System.nanoTime() < deadline) {
                TimeUnit.MILLISECONDS.sleep(200);
            }
            // Allows time for usage that is counted twice to show up.
            TimeUnit.SECONDS.sleep(4);
            String summary = "sent " + sentRequests + ", received " + receivedResponses + ", reported tokens "
                    + reportedTokens(reportServer);
            System.out.println("usage after kill -9: " + summary);
            assertTrue(receivedResponses.get() > 100, summary);
            assertTrue(reportedTokens(reportServer) >= (long) receivedResponses.get() * TOKENS_PER_RESPONSE, summary);
            assertTrue(reportedTokens(reportServer) <= (long) sentRequests.get() * TOKENS_PER_RESPONSE, summary);
        } finally {
            vertx.close();
        }
    }

    private void callUntilStopped(int port) {
        HttpClient client = HttpClient.newHttpClient();
        while (!stopped.get()) {
            try {
                sentRequests.incrementAndGet();
                HttpResponse<String> response = call(client, port);
                if (response.statusCode() == 200 && response.body().endsWith("data: [DONE]\n\n")) {
                    receivedResponses.incrementAndGet();
                }
            } catch (IOException exception) {
                return;
            } catch (InterruptedException exception) {
                throw new IllegalStateException(exception);
            }
        }
    }

    private static HttpResponse<String> call(HttpClient client, int port) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + "/v1/chat/completions"))
                .header("authorization", "Bearer morning.secret")
                .POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"draft\",\"stream\":true,\"max_tokens\":"
                        + TOKENS_PER_RESPONSE + ",\"messages\":[]}"))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private void awaitReady(int port) throws IOException, InterruptedException {
        HttpClient client = HttpClient.newHttpClient();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + "/v1/models"))
                .header("authorization", "Bearer morning.secret")
                .build();
        while (client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() != 200) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private static long reportedTokens(UsageReportServer reportServer) {
        Map<Long, UsageReport> byWindow = new HashMap<>();
        for (UsageReportMessage message : reportServer.received()) {
            UsageReport previous = byWindow.putIfAbsent(message.report().window(), message.report());
            assertTrue(previous == null || previous.equals(message.report()), "two different reports for one window");
        }
        return byWindow.values().stream()
                .flatMap(report -> Stream.concat(report.figures().stream(), report.corrections().stream()))
                .map(UsageFigure::amount)
                .mapToLong(amount -> amount.generatedTokens())
                .sum();
    }

    private ChildProcess startInstance(String name, String zone, int tablePort, int reportPort) throws IOException {
        Path settings =
                Files.writeString(directory.resolve(name + ".yaml"), """
                instance: {name: %s, availabilityZone: %s}
                listen: {callerPort: 0, operatorPort: 0, peerPort: 0}
                tableService: {port: %d}
                usage:
                  windowMilliseconds: 2000
                  reports: {port: %d, graceMilliseconds: 3000}
                """.formatted(name, zone, tablePort, reportPort));
        Path log = directory.resolve(name + ".log");
        return ChildProcess.start(log, DaemonMain.class, "run", "--settings", settings.toString());
    }

    private void commitConfiguration(int enginePort) {
        List<ConfigurationDocument> documents = List.of(
                new ClientAccount("county", 1, 100),
                new ApiKey("morning", "county", SecretDigest.of("secret"), false),
                new Service("draft", ServiceType.MODEL, List.of(), 60_000, 1),
                new Target(
                        "draft-1",
                        "draft",
                        HOST,
                        enginePort,
                        "zone-a",
                        "1",
                        TargetCharge.REGULAR,
                        OrderChecking.CHECKS_FENCING_TOKEN,
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
