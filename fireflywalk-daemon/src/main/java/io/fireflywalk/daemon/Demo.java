package io.fireflywalk.daemon;

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
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.daemon.settings.SettingsLoader;
import io.fireflywalk.services.configuration.ChangeRecord;
import io.fireflywalk.services.configuration.ConfigurationRepository;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.time.VertxTimerService;
import io.fireflywalk.standin.ModelEngineServer;
import io.fireflywalk.standin.PlainServiceServer;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** Runs a daemon with an in-memory table service and two simulated targets in one process. */
final class Demo {
    private static final String HOST = "127.0.0.1";
    private static final String API_KEY_NAME = "demo";
    private static final String API_KEY_SECRET = "secret";
    private static final long TOKEN_MILLISECONDS = 50;

    private Demo() {}

    static void run(int callerPort) throws FireflywalkException {
        DaemonSettings settings = SettingsLoader.parse(
                "listen: {callerPort: " + callerPort + ", operatorPort: 0, peerPort: 0}", "demo settings");
        Vertx vertx = Vertx.vertx();
        Context context = vertx.getOrCreateContext();
        context.runOnContext(ignored -> start(vertx, context, settings));
    }

    private static void start(Vertx vertx, Context context, DaemonSettings settings) {
        TableService tables = new InMemoryTableService();
        Future<Integer> enginePort = new ModelEngineServer(vertx, "draft", "1", TOKEN_MILLISECONDS).listen(HOST, 0);
        Future<Integer> plainPort = new PlainServiceServer(vertx).listen(HOST, 0);
        Future.all(enginePort, plainPort)
                .compose(ignored -> {
                    writeConfiguration(tables, enginePort.result(), plainPort.result());
                    Daemon daemon = new Daemon(
                            vertx,
                            settings,
                            tables,
                            new VertxTimerService(vertx, context),
                            ShutdownHook::exitInBackground);
                    ShutdownHook.install(context, daemon::shutDown);
                    return daemon.start();
                })
                .onSuccess(ports -> printExamples(ports.callerPort()))
                .onFailure(cause -> {
                    System.err.println("fireflywalkd: " + cause.getMessage());
                    Runtime.getRuntime().halt(1);
                });
    }

    private static void writeConfiguration(TableService tables, int enginePort, int plainPort) {
        Set<String> methods = Set.of("GET", "POST");
        List<ConfigurationDocument> documents = List.of(
                new ClientAccount("demo", 1, 100),
                new ApiKey(API_KEY_NAME, "demo", SecretDigest.of(API_KEY_SECRET), false),
                new Service("draft", ServiceType.MODEL, List.of(), 60_000, 1),
                new Service(
                        "billing", ServiceType.PLAIN, List.of(new Route("/billing", methods, false, false)), 10_000, 1),
                target("draft-1", "draft", enginePort, "1"),
                target("billing-1", "billing", plainPort, ""));
        List<DocumentChange> changes = Stream.of(documents.toArray(new ConfigurationDocument[0]))
                .map(DocumentChange::put)
                .toList();
        ChangeRecord entry = new ChangeRecord(1, "demo", "demo", 0, DocumentCodec.toMessages(changes));
        new ConfigurationRepository(tables)
                .commit("demo", 0, changes, entry)
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

    private static void printExamples(int port) {
        System.out.println("fireflywalkd demo is ready. Try:");
        System.out.println("curl -N http://" + HOST + ":" + port + "/v1/chat/completions -H 'authorization: Bearer "
                + API_KEY_NAME + "." + API_KEY_SECRET + "' -d '{\"model\":\"draft\",\"stream\":true,\"messages\":[]}'");
    }
}
