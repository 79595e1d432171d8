package io.fireflywalk.daemon.gateway;

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
import io.fireflywalk.daemon.Daemon;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.daemon.settings.SettingsLoader;
import io.fireflywalk.services.configuration.ChangeRecord;
import io.fireflywalk.services.configuration.ConfigurationRepository;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.time.VertxTimerService;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A daemon with short limits that runs in the test process, in front of given targets. */
final class GatewayFixture implements AutoCloseable {
    static final String KEY = "morning.secret-of-the-key";
    static final String SETTINGS = """
            listen: {callerPort: 0, operatorPort: 0, peerPort: 0}
            configuration: {pollMilliseconds: 20}
            routing: {loadPollMilliseconds: 0}
            limits: {bodyBytes: 100000, bodyMemoryBytes: 150000, headerBytes: 4096, requestLineBytes: 1024,
              slowSenderMilliseconds: 400, repeatableBodyBytes: 1000, maximumTokens: 1000, callerConnections: 20}
            targets: {connectMilliseconds: 500, headMilliseconds: 400, wholeAnswerMilliseconds: 400,
              firstByteMilliseconds: 400, gapMilliseconds: 400, commentMilliseconds: 100, answerBytes: 100000,
              reuseIdleMilliseconds: 2000}
            retries: {backoffMilliseconds: 5, maximumBackoffMilliseconds: 20, breakerFailures: 100%s}
            """;

    private static final long START_TIMEOUT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private int callerPort;
    private int operatorPort;

    /**
     * Starts a daemon whose model and plain targets listen on the ports; non-empty retry settings begin with a comma.
     */
    static GatewayFixture start(String retrySettings, Integer... ports) throws Exception {
        GatewayFixture fixture = new GatewayFixture();
        fixture.startDaemon(SettingsLoader.parse(SETTINGS.formatted(retrySettings), "test"), List.of(ports));
        return fixture;
    }

    private void startDaemon(DaemonSettings settings, List<Integer> ports) throws Exception {
        Context context = vertx.getOrCreateContext();
        InMemoryTableService tables = new InMemoryTableService();
        List<DocumentChange> changes =
                documents(ports).stream().map(DocumentChange::put).toList();
        new ConfigurationRepository(tables)
                .commit("test", 0, changes, new ChangeRecord(1, "t", "t", 0, DocumentCodec.toMessages(changes)))
                .ignoreElement()
                .blockingAwait();
        CompletableFuture<Daemon.BoundPorts> started = new CompletableFuture<>();
        context.runOnContext(
                ignored -> new Daemon(vertx, settings, tables, new VertxTimerService(vertx, context), () -> {})
                        .start()
                        .onComplete(started::complete, started::completeExceptionally));
        callerPort = started.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS).callerPort();
        operatorPort = started.get().operatorPort();
        while (get("/v1/models").statusCode() != 200) {
            Thread.sleep(10);
        }
    }

    private static List<ConfigurationDocument> documents(List<Integer> ports) {
        Set<String> methods = Set.of("GET", "HEAD", "POST");
        List<ConfigurationDocument> documents = new ArrayList<>(List.of(
                new ClientAccount("county", 1, 100),
                new ApiKey("morning", "county", SecretDigest.of("secret-of-the-key"), false),
                new Service("draft", ServiceType.MODEL, List.of(), 5000, 1),
                new Service(
                        "billing",
                        ServiceType.PLAIN,
                        List.of(
                                new Route("/billing", methods, false, false),
                                new Route("/status", methods, true, true)),
                        5000,
                        1)));
        for (int index = 0; index < ports.size(); index++) {
            documents.add(target("draft-" + index, "draft", ports.get(index), "1"));
            documents.add(target("billing-" + index, "billing", ports.get(index), ""));
        }
        return documents;
    }

    private static Target target(String name, String service, int port, String version) {
        return new Target(
                name,
                service,
                "127.0.0.1",
                port,
                "zone-a",
                version,
                TargetCharge.REGULAR,
                OrderChecking.CHECKS_FENCING_TOKEN,
                false);
    }

    int callerPort() {
        return callerPort;
    }

    HttpResponse<String> get(String path) throws IOException, InterruptedException {
        return client.send(request(path).GET().build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> post(String path, String body, String... headers) throws IOException, InterruptedException {
        HttpRequest.Builder request = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> metrics() throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + operatorPort + "/metrics");
        return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callerPort + path))
                .header("authorization", "Bearer " + KEY);
    }

    /** Sends raw bytes and returns everything received until the connection closes or is silent for the given time. */
    String raw(String text, int silenceMilliseconds) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
            socket.setSoTimeout(silenceMilliseconds);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return readAll(socket);
        }
    }

    static String readAll(Socket socket) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        InputStream input = socket.getInputStream();
        byte[] buffer = new byte[8192];
        try {
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                received.write(buffer, 0, count);
            }
        } catch (IOException exception) {
            // A time-out or a reset ends the response.
        }
        return received.toString(StandardCharsets.UTF_8);
    }

    /** Returns a raw completion request with the body. */
    static String completion(String body) {
        return "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\nauthorization: Bearer " + KEY
                + "\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
    }

    @Override
    public void close() {
        vertx.close();
    }
}
