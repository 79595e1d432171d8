package io.fireflywalk.benchmark.configuration;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.fireflywalk.core.configuration.ApiKey;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.ConfigurationDocument;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.configuration.Service;
import io.fireflywalk.core.configuration.ServiceType;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.daemon.Daemon;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.daemon.settings.SettingsLoader;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.fireflywalk.services.table.HttpTableService;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.time.VertxTimerService;
import io.fireflywalk.standin.FaultyTableService;
import io.fireflywalk.standin.TableServiceServer;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures API key revocations over HTTP with real daemons, one event loop each: the time until every daemon refuses
 * the key, and until the operator receives the acknowledgement. The second condition injects faults into store calls.
 */
public final class RevocationBenchmark {
    private static final String HOST = "127.0.0.1";
    private static final String OPERATOR_KEY = "operator-secret";
    private static final String SECRET = "secret";
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final Duration OPERATION_TIMEOUT = Duration.ofSeconds(60);
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAUTHORIZED = 401;

    private final HttpClient client = HttpClient.newHttpClient();
    private final Vertx vertx = Vertx.vertx();
    private final VertxTimerService clock = new VertxTimerService(vertx, vertx.getOrCreateContext());
    private final FaultyTableService tableService =
            new FaultyTableService(new InMemoryTableService(), clock, Duration.ofMillis(300));
    private final List<Daemon.BoundPorts> daemonPorts = new ArrayList<>();

    /** Options of the command line. */
    static final class Options {
        @Parameter(names = "--daemons", description = "Number of daemons")
        int daemons = 8;

        @Parameter(names = "--changes", description = "Revocations per condition")
        int changes = 100;

        @Parameter(names = "--faults", description = "Fraction of faulty calls to the store in the second condition")
        double faults = 0.1;
    }

    private RevocationBenchmark() {}

    /** Prints one Markdown table row per condition. */
    public static void main(String[] arguments) throws IOException, InterruptedException, FireflywalkException {
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse(arguments);
        RevocationBenchmark benchmark = new RevocationBenchmark();
        benchmark.start(options.daemons);
        System.out.println(
                "| daemons | store faults | changes | refused everywhere p50 ms | p99 ms | worst ms | acknowledged p99 ms"
                        + " | worst ms | served again later |");
        System.out.println("|---|---|---|---|---|---|---|---|---|");
        benchmark.measure(options, 0);
        benchmark.measure(options, options.faults);
        Runtime.getRuntime().halt(0);
    }

    private void start(int daemons) throws IOException, InterruptedException, FireflywalkException {
        int tablePort =
                join(new TableServiceServer(vertx, tableService).listen(HOST, 0).toCompletionStage());
        for (int index = 0; index < daemons; index++) {
            DaemonSettings settings = SettingsLoader.parse(
                    "{instance: {name: instance-" + index + ", availabilityZone: zone-" + index % 4
                            + "}, listen: {callerPort: 0, operatorPort: 0, peerPort: 0}, operatorKeys: [{name: benchmark, digest: '"
                            + SecretDigest.of(OPERATOR_KEY) + "'}]}",
                    "benchmark");
            CompletableFuture<Daemon.BoundPorts> started = new CompletableFuture<>();
            Vertx ownVertx = Vertx.vertx();
            Context context = ownVertx.getOrCreateContext();
            context.runOnContext(ignored -> new Daemon(
                            ownVertx,
                            settings,
                            new HttpTableService(ownVertx, HOST, tablePort, Duration.ofMillis(500)),
                            new VertxTimerService(ownVertx, context),
                            () -> {})
                    .start()
                    .onSuccess(started::complete)
                    .onFailure(started::completeExceptionally));
            daemonPorts.add(started.join());
        }
        change(List.of(
                new ClientAccount("county", 1, 10),
                new Service("draft", ServiceType.MODEL, List.of(), 60_000, 1),
                new ApiKey("warm-up", "county", SecretDigest.of(SECRET), false)));
        awaitStatusEverywhere("warm-up", STATUS_OK);
    }

    private void measure(Options options, double faults) throws IOException, InterruptedException {
        Histogram refused = new Histogram(SIGNIFICANT_DIGITS);
        Histogram acknowledged = new Histogram(SIGNIFICANT_DIGITS);
        int servedAgain = 0;
        for (int number = 0; number < options.changes; number++) {
            String name = "key-" + number + (faults > 0 ? "-faults" : "");
            tableService.failRandomly(number, 0);
            change(List.of(new ApiKey(name, "county", SecretDigest.of(SECRET), false)));
            awaitStatusEverywhere(name, STATUS_OK);
            tableService.failRandomly(number, faults);
            long startedAt = clock.monotonicNanoseconds();
            CompletableFuture<Long> accepted = CompletableFuture.supplyAsync(() -> {
                try {
                    change(List.of(new ApiKey(name, "county", SecretDigest.of(SECRET), true)));
                    return clock.monotonicNanoseconds();
                } catch (IOException | InterruptedException exception) {
                    throw new IllegalStateException(exception);
                }
            });
            awaitStatusEverywhere(name, STATUS_UNAUTHORIZED);
            refused.recordValue(millisecondsSince(startedAt));
            acknowledged.recordValue(TimeUnit.NANOSECONDS.toMillis(accepted.join() - startedAt));
            for (Daemon.BoundPorts each : daemonPorts) {
                servedAgain += status(each, name) == STATUS_OK ? 1 : 0;
            }
        }
        System.out.printf(
                Locale.ROOT,
                "| %d | %.2f | %d | %d | %d | %d | %d | %d | %d |%n",
                daemonPorts.size(),
                faults,
                options.changes,
                refused.getValueAtPercentile(50),
                refused.getValueAtPercentile(99),
                refused.getMaxValue(),
                acknowledged.getValueAtPercentile(99),
                acknowledged.getMaxValue(),
                servedAgain);
    }

    /** Applies a change to the current version; retries after a conflict or an unknown outcome. */
    private void change(List<ConfigurationDocument> documents) throws IOException, InterruptedException {
        List<DocumentChange> changes =
                documents.stream().map(DocumentChange::put).toList();
        long end = clock.monotonicNanoseconds() + OPERATION_TIMEOUT.toNanos();
        while (clock.monotonicNanoseconds() < end) {
            String currentConfiguration = send(HttpRequest.newBuilder(operatorUri("/operator/v1/configuration")))
                    .body();
            long base;
            try {
                base = Codec.json()
                        .read(currentConfiguration, OperatorMessages.ConfigurationResponse.class, "configuration")
                        .version();
            } catch (FireflywalkException exception) {
                throw new IOException(exception);
            }
            var request = new OperatorMessages.ChangeRequest(
                    base, "benchmark", "benchmark", DocumentCodec.toMessages(changes));
            int status = send(HttpRequest.newBuilder(operatorUri("/operator/v1/changes"))
                            .POST(HttpRequest.BodyPublishers.ofString(
                                    Codec.json().write(request))))
                    .statusCode();
            if (status == STATUS_OK) {
                return;
            }
        }
        throw new IOException("configuration change was not accepted within " + OPERATION_TIMEOUT);
    }

    private void awaitStatusEverywhere(String key, int status) throws IOException, InterruptedException {
        for (Daemon.BoundPorts each : daemonPorts) {
            long end = clock.monotonicNanoseconds() + OPERATION_TIMEOUT.toNanos();
            while (status(each, key) != status) {
                if (clock.monotonicNanoseconds() > end) {
                    throw new IOException(
                            "timed out waiting for status " + status + " for key " + key + " from daemon " + each);
                }
            }
        }
    }

    private int status(Daemon.BoundPorts daemon, String key) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + HOST + ":" + daemon.callerPort() + "/v1/models"))
                .header("authorization", "Bearer " + key + "." + SECRET)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return client.send(
                request.header("authorization", "Bearer " + OPERATOR_KEY).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private URI operatorUri(String path) {
        return URI.create("http://" + HOST + ":" + daemonPorts.get(0).operatorPort() + path);
    }

    private long millisecondsSince(long startedAt) {
        return TimeUnit.NANOSECONDS.toMillis(clock.monotonicNanoseconds() - startedAt);
    }

    private static <T> T join(java.util.concurrent.CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }
}
