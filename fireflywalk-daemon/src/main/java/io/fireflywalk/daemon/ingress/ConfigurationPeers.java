package io.fireflywalk.daemon.ingress;

import io.fireflywalk.daemon.ingress.Coordination.Peer;
import io.fireflywalk.services.time.TimerService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Asks other instances for the configuration while the store does not answer this one, and answers theirs. Confined to
 * one event loop.
 */
final class ConfigurationPeers {
    private static final Logger LOG = Logger.getLogger(ConfigurationPeers.class);
    private static final String PATH = "/peer/v1/configuration";
    private static final String VERSION_PARAMETER = "after";
    private static final Duration PERIOD = Duration.ofMillis(500);
    /** Silence of the store after which peers are asked; a held call ends well before. */
    private static final Duration STORE_SILENCE = Duration.ofMillis(1600);

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);
    private static final int STATUS_OK = 200;
    private static final int STATUS_NO_CONTENT = 204;

    private final Vertx vertx;
    private final HttpClient client;
    private final TimerService timers;
    private final RandomGenerator random;
    private final ConfigurationHolder configuration;
    private final TableFollower follower;
    private final Coordination coordination;

    ConfigurationPeers(
            Vertx vertx,
            IngressSettings settings,
            TimerService timers,
            RandomGenerator random,
            ConfigurationHolder configuration,
            TableFollower follower,
            Coordination coordination) {
        this.vertx = vertx;
        this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) CALL_TIMEOUT.toMillis()));
        this.timers = timers;
        this.random = random;
        this.configuration = configuration;
        this.follower = follower;
        this.coordination = coordination;
    }

    Future<HttpServer> listen(String host, int port) {
        return vertx.createHttpServer().requestHandler(this::answer).listen(port, host);
    }

    void start() {
        var unused = timers.every(PERIOD).subscribe(tick -> askIfCutOff());
    }

    private void answer(HttpServerRequest request) {
        String after = request.getParam(VERSION_PARAMETER, "0");
        boolean newer = request.path().equals(PATH)
                && after.matches("[0-9]{1,18}")
                && configuration.version() > Long.parseLong(after);
        if (newer) {
            request.response().end(configuration.encoded());
        } else {
            request.response().setStatusCode(STATUS_NO_CONTENT).end();
        }
    }

    private void askIfCutOff() {
        List<Peer> peers = coordination.peers();
        if (peers.isEmpty() || follower.silence().compareTo(STORE_SILENCE) < 0) {
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
                .compose(request -> request.send())
                .compose(response -> response.body().map(body -> {
                    if (response.statusCode() == STATUS_OK) {
                        configuration.take(body, peer.host());
                    }
                    return body;
                }))
                .onFailure(
                        cause -> LOG.debugf("event=peer_silent peer=%s cause=\"%s\"", peer.host(), cause.getMessage()));
    }
}
