package io.fireflywalk.daemon.ingress;

import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.services.http.HttpClients;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Fetches the configuration from other instances while this one cannot reach the store, and serves it to them. Confined
 * to one event loop.
 */
final class PeerConfigurationSync {
    private static final Logger LOG = Logger.getLogger(PeerConfigurationSync.class);
    private static final String PATH = "/peer/v1/configuration";
    private static final String VERSION_PARAMETER = "after";
    private static final Duration FETCH_INTERVAL = Duration.ofMillis(500);
    /** Time without a response from the store after which peers are asked; a long poll ends well before. */
    private static final Duration STORE_SILENCE_LIMIT = Duration.ofMillis(1600);

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);
    private static final int STATUS_OK = 200;
    private static final int STATUS_NO_CONTENT = 204;

    private final Vertx vertx;
    private final HttpClient client;
    private final TimerService timers;
    private final RandomGenerator random;
    private final ConfigurationHolder configuration;
    private final TableWatcher configurationWatcher;
    private final FleetCoordinator coordinator;

    PeerConfigurationSync(
            Vertx vertx,
            IngressSettings settings,
            TimerService timers,
            RandomGenerator random,
            ConfigurationHolder configuration,
            TableWatcher configurationWatcher,
            FleetCoordinator coordinator) {
        this.vertx = vertx;
        this.client = HttpClients.create(
                vertx, new HttpClientOptions().setConnectTimeout((int) CALL_TIMEOUT.toMillis()), new PoolOptions());
        this.timers = timers;
        this.random = random;
        this.configuration = configuration;
        this.configurationWatcher = configurationWatcher;
        this.coordinator = coordinator;
    }

    Future<HttpServer> listen(ListenerGuard guard, String host, int port) {
        return guard.listenInternally(vertx, this::serve, host, port);
    }

    void start() {
        var unused = timers.repeat(FETCH_INTERVAL, "peer configuration", this::fetchIfStoreSilent);
    }

    private void serve(HttpServerRequest request) {
        String knownVersion = request.getParam(VERSION_PARAMETER, "0");
        boolean newer = request.path().equals(PATH)
                && knownVersion.matches("[0-9]{1,18}")
                && configuration.version() > Long.parseLong(knownVersion);
        if (newer) {
            request.response().end(configuration.encoded());
        } else {
            request.response().setStatusCode(STATUS_NO_CONTENT).end();
        }
    }

    private void fetchIfStoreSilent() {
        List<Peer> peers = coordinator.peers();
        if (peers.isEmpty() || configurationWatcher.timeSinceLastResponse().compareTo(STORE_SILENCE_LIMIT) < 0) {
            return;
        }
        Peer peer = peers.get(random.nextInt(peers.size()));
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(peer.host())
                .setPort(peer.port())
                .setURI(PATH + "?" + VERSION_PARAMETER + "=" + configuration.version())
                .setTimeout(CALL_TIMEOUT.toMillis())
                .setIdleTimeout(CALL_TIMEOUT.toMillis());
        client.request(options)
                .compose(request -> request.send()
                        .compose(response -> response.body().map(body -> {
                            if (response.statusCode() == STATUS_OK) {
                                configuration.applyIfNewer(body, peer.host());
                            }
                            return body;
                        })))
                .onFailure(
                        cause -> LOG.debugf("event=peer_silent peer=%s cause=\"%s\"", peer.host(), cause.getMessage()));
    }
}
