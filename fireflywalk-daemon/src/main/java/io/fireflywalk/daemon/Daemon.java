package io.fireflywalk.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.admission.FleetPressure;
import io.fireflywalk.core.configuration.ServiceType;
import io.fireflywalk.core.routing.LoadView;
import io.fireflywalk.core.routing.PrefixEstimate;
import io.fireflywalk.core.routing.RunnerProfile;
import io.fireflywalk.core.routing.TargetSelector;
import io.fireflywalk.daemon.admission.AdmissionGate;
import io.fireflywalk.daemon.configuration.ConfigurationWatcher;
import io.fireflywalk.daemon.gateway.GatewayServer;
import io.fireflywalk.daemon.gateway.ModelRequestHandler;
import io.fireflywalk.daemon.gateway.PlainRequestHandler;
import io.fireflywalk.daemon.gateway.TargetPool;
import io.fireflywalk.daemon.operators.ConfigurationChanger;
import io.fireflywalk.daemon.operators.OperatorServer;
import io.fireflywalk.daemon.peer.PeerServer;
import io.fireflywalk.daemon.routing.LoadWatcher;
import io.fireflywalk.daemon.routing.RunnerRouter;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.daemon.usage.UsageRecorder;
import io.fireflywalk.platform.configuration.ConfigurationRepository;
import io.fireflywalk.platform.table.TableService;
import io.fireflywalk.platform.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.time.Duration;
import java.util.UUID;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/** One instance: builds the parts, starts them, and drains them at shutdown. Confined to one event loop. */
public final class Daemon {
    private static final Logger LOG = Logger.getLogger(Daemon.class);
    private static final int CONNECTIONS_PER_TARGET = 1024;
    private static final Duration DRAIN_CHECK_PERIOD = Duration.ofMillis(50);

    private final DaemonSettings settings;
    private final TimerService timers;
    private final ConfigurationWatcher watcher;
    private final UsageRecorder usage;
    private final LoadWatcher loads;
    private final AdmissionGate admission;
    private final GatewayServer gateway;
    private final OperatorServer operators;
    private final PeerServer peers;
    private boolean draining;

    public Daemon(Vertx vertx, DaemonSettings settings, TableService tables, TimerService timers) {
        this.settings = settings;
        this.timers = timers;
        String incarnation = settings.instance().name() + "-" + UUID.randomUUID();
        MetricRegistry metrics = new MetricRegistry();
        ConfigurationRepository repository = new ConfigurationRepository(tables);
        this.watcher = new ConfigurationWatcher(
                repository, timers, Duration.ofMillis(settings.configuration().pollMilliseconds()));
        this.usage = new UsageRecorder(
                tables,
                timers,
                incarnation,
                settings.usage().windowMilliseconds(),
                Duration.ofMillis(settings.usage().flushMilliseconds()));
        HttpClient client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout((int) settings.targets().connectMilliseconds()),
                new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_TARGET));
        TargetPool pool = new TargetPool(TargetSelector.powerOfTwoChoices(), RandomGenerator.getDefault());
        LoadView view = new LoadView(RunnerProfile.defaults());
        PrefixEstimate prefixes = new PrefixEstimate();
        this.loads = new LoadWatcher(
                client, timers, watcher::snapshot, settings.instance().name(), view, prefixes, metrics);
        RunnerRouter router = new RunnerRouter(loads, view, prefixes, timers, RandomGenerator.getDefault());
        this.admission = new AdmissionGate(
                timers,
                watcher::snapshot,
                (snapshot, service) -> snapshot.service(service)
                        .filter(found -> found.type() == ServiceType.MODEL)
                        .map(found -> router.pressure(snapshot, service))
                        .orElse(FleetPressure.none()),
                RandomGenerator.getDefault(),
                metrics);
        this.gateway = new GatewayServer(
                vertx,
                settings,
                watcher::snapshot,
                new ModelRequestHandler(client, pool, router, admission, usage, settings),
                new PlainRequestHandler(client, pool, admission, usage));
        this.operators = new OperatorServer(
                vertx,
                watcher::snapshot,
                this::isReady,
                new ConfigurationChanger(repository, watcher, timers),
                tables,
                metrics,
                settings.operatorKeys());
        this.peers = new PeerServer(vertx);
        metrics.register("requests_in_flight", (Gauge<Integer>) gateway::requestsInFlight);
        metrics.register(
                "configuration_version", (Gauge<Long>) () -> watcher.snapshot().version());
    }

    /** Starts all parts and returns the bound ports. */
    public Future<BoundPorts> start() {
        watcher.start();
        usage.start();
        loads.start();
        admission.start();
        String host = settings.instance().host();
        return gateway.listen(host, settings.listen().callerPort())
                .compose(callerPort -> operators
                        .listen(host, settings.listen().operatorPort())
                        .compose(operatorPort -> peers.listen(
                                        host, settings.listen().peerPort())
                                .map(peerPort -> new BoundPorts(callerPort, operatorPort, peerPort))))
                .onSuccess(ports -> LOG.infof(
                        "event=started instance=%s caller_port=%d operator_port=%d peer_port=%d",
                        settings.instance().name(), ports.callerPort(), ports.operatorPort(), ports.peerPort()));
    }

    /** Tells whether the balancer should send callers to this instance. */
    public boolean isReady() {
        return !draining && watcher.snapshot().version() > 0;
    }

    /** Stops without cutting a request: readiness off, balancer delay, drain, flush. */
    public Completable shutDown() {
        draining = true;
        LOG.infof("event=draining instance=%s requests=%d", settings.instance().name(), gateway.requestsInFlight());
        Duration drainLimit = Duration.ofMillis(settings.shutdown().drainLimitMilliseconds());
        return timers.after(Duration.ofMillis(settings.shutdown().balancerDelayMilliseconds()))
                .andThen(Completable.fromAction(gateway::refuseNewRequests))
                .andThen(timers.every(DRAIN_CHECK_PERIOD)
                        .takeUntil(tick -> gateway.requestsInFlight() == 0)
                        .takeUntil(timers.after(drainLimit).toFlowable())
                        .ignoreElements())
                .andThen(Completable.defer(() -> {
                    admission.stop();
                    loads.stop();
                    usage.stop();
                    watcher.stop();
                    return usage.flush().onErrorComplete();
                }))
                .doOnComplete(() -> LOG.infof(
                        "event=stopped instance=%s", settings.instance().name()));
    }

    /** Ports that the instance listens on. */
    public record BoundPorts(int callerPort, int operatorPort, int peerPort) {}
}
