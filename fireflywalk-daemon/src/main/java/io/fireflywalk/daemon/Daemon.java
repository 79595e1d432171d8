package io.fireflywalk.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.admission.FleetPressure;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.ServiceType;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.routing.LoadView;
import io.fireflywalk.core.routing.PrefixCacheEstimate;
import io.fireflywalk.core.routing.RunnerProfile;
import io.fireflywalk.core.routing.TargetSelector;
import io.fireflywalk.daemon.admission.AdmissionGate;
import io.fireflywalk.daemon.admission.LoadExchange;
import io.fireflywalk.daemon.authority.AuthoritySettings;
import io.fireflywalk.daemon.authority.LeaseManager;
import io.fireflywalk.daemon.claim.ClaimComponents;
import io.fireflywalk.daemon.configuration.Coordination;
import io.fireflywalk.daemon.gateway.GatewayContext;
import io.fireflywalk.daemon.gateway.GatewayServer;
import io.fireflywalk.daemon.gateway.RetryController;
import io.fireflywalk.daemon.gateway.TargetConnections;
import io.fireflywalk.daemon.gateway.TargetPool;
import io.fireflywalk.daemon.operators.ConfigurationChangeService;
import io.fireflywalk.daemon.operators.OperatorServer;
import io.fireflywalk.daemon.operators.ProcessMetrics;
import io.fireflywalk.daemon.operators.StatusTables;
import io.fireflywalk.daemon.peer.PeerClient;
import io.fireflywalk.daemon.peer.PeerServer;
import io.fireflywalk.daemon.routing.LoadPoller;
import io.fireflywalk.daemon.routing.RunnerRouter;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.daemon.usage.UsageComponents;
import io.fireflywalk.operator.message.StatusTable;
import io.fireflywalk.services.http.HttpClients;
import io.fireflywalk.services.instance.InstanceList;
import io.fireflywalk.services.table.ResolvingTableService;
import io.fireflywalk.services.table.TableMetrics;
import io.fireflywalk.services.table.TableRetryPolicy;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/** One instance: wires its components, starts them, and drains them at shutdown. Confined to one event loop. */
public final class Daemon {
    private static final Logger LOG = Logger.getLogger(Daemon.class);
    private static final Duration PEER_CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration DRAIN_CHECK_PERIOD = Duration.ofMillis(50);

    private final DaemonSettings settings;
    private final TimerService timers;
    private final Coordination coordination;
    private final LeaseManager leases;
    private final LoadPoller loadPoller;
    private final RunnerRouter router;
    private final AdmissionGate admission;
    private final LoadExchange loadExchange;
    private final UsageComponents usage;
    private final ClaimComponents claims;
    private final GatewayServer gatewayServer;
    private final OperatorServer operatorServer;
    private final PeerServer peers;
    private final Runnable shutdownTrigger;
    private boolean draining;

    public Daemon(
            Vertx vertx,
            DaemonSettings settings,
            TableService tableService,
            TimerService timers,
            Runnable shutdownTrigger) {
        this.shutdownTrigger = shutdownTrigger;
        this.settings = settings;
        this.timers = timers;
        String incarnation = settings.instance().name() + "-" + UUID.randomUUID();
        MetricRegistry metrics = new MetricRegistry();
        TableService tables = createResolvingTableService(tableService, metrics);
        Member self = createMember(incarnation);
        this.peers = new PeerServer(vertx);
        this.coordination = new Coordination(
                self,
                tables,
                InstanceList.empty(),
                new PeerClient(vertx, PEER_CONNECT_TIMEOUT),
                timers,
                new Random(),
                Duration.ofMillis(settings.configuration().pollMilliseconds()),
                Duration.ofMillis(settings.configuration().freshnessLimitMilliseconds()));
        coordination.register(peers);
        this.leases = new LeaseManager(
                incarnation,
                AuthoritySettings.defaults(),
                tables,
                timers,
                RandomGenerator.getDefault(),
                metrics,
                this::leaseUnits,
                this::liveIncarnations);
        this.usage = UsageComponents.create(
                vertx, settings, tables, timers, self, coordination.heartbeats(), this::reportToken, peers, metrics);
        this.claims = ClaimComponents.create(
                vertx, settings, tables, timers, self, coordination.heartbeats(), peers, metrics);
        LoadView view = new LoadView(RunnerProfile.defaults());
        PrefixCacheEstimate cacheEstimate = new PrefixCacheEstimate();
        this.loadPoller = new LoadPoller(
                HttpClients.create(
                        vertx,
                        new HttpClientOptions()
                                .setConnectTimeout((int) settings.targets().connectMilliseconds()),
                        new PoolOptions()),
                timers,
                coordination::snapshot,
                settings.instance().name(),
                view,
                cacheEstimate,
                metrics,
                Duration.ofMillis(settings.routing().loadPollMilliseconds()));
        this.router = new RunnerRouter(loadPoller, view, cacheEstimate, timers, RandomGenerator.getDefault());
        this.admission = new AdmissionGate(
                timers, coordination::snapshot, this::pressure, RandomGenerator.getDefault(), metrics);
        this.loadExchange = new LoadExchange(
                timers,
                coordination::snapshot,
                () -> Set.copyOf(liveIncarnations()),
                admission,
                router,
                coordination.gossip());
        GatewayContext context = createGatewayContext(vertx, metrics);
        this.gatewayServer = new GatewayServer(vertx, context, coordination::mayServeAuthenticatedRoutes);
        this.operatorServer = new OperatorServer(
                vertx,
                timers,
                settings,
                coordination::snapshot,
                this::isReady,
                this::triggerShutdown,
                new ConfigurationChangeService(coordination, timers),
                tables,
                metrics);
        operatorServer.addStatus(() -> Single.fromCallable(this::instanceStatus));
        operatorServer.addStatus(() -> Single.fromCallable(
                () -> StatusTables.members(coordination.heartbeats().liveMembers())));
        operatorServer.addStatus(() -> Single.fromCallable(() -> StatusTables.leases(leaseUnits(), leases)));
        operatorServer.addStatus(() -> Single.fromCallable(() -> StatusTables.targets(
                coordination.snapshot(), context.targetPool()::requestsInFlight, context.retryController()::allows)));
        ProcessMetrics.register(metrics);
        metrics.register("requests_in_flight", (Gauge<Integer>) gatewayServer::requestsInFlight);
        registerCoordinationMetrics(metrics);
    }

    private FleetPressure pressure(ConfigurationSnapshot snapshot, String service) {
        return snapshot.service(service)
                .filter(candidate -> candidate.type() == ServiceType.MODEL)
                .map(modelService -> router.pressure(snapshot, service))
                .orElse(FleetPressure.none());
    }

    /** Returns the lease units that follow from the configuration and the open usage windows. */
    private List<LeaseUnit> leaseUnits() {
        List<LeaseUnit> units = new ArrayList<>();
        ConfigurationSnapshot snapshot = coordination.snapshot();
        snapshot.services().stream()
                .filter(service -> service.type() == ServiceType.MODEL)
                .forEach(service -> units.add(LeaseUnit.pool(service.name())));
        snapshot.targets().stream()
                .map(Target::availabilityZone)
                .distinct()
                .forEach(zone -> units.add(LeaseUnit.zone(zone)));
        DaemonSettings.UsageSettings usageSettings = settings.usage();
        long newestWindow = timers.wallClockMilliseconds() / usageSettings.windowMilliseconds();
        long oldestWindow = newestWindow - usageSettings.reports().correctionWindows();
        int windowsPerRange = usageSettings.reports().windowsPerRange();
        for (long range = oldestWindow / windowsPerRange; range <= newestWindow / windowsPerRange; range++) {
            units.add(LeaseUnit.report(Long.toString(range)));
        }
        return units;
    }

    private List<String> liveIncarnations() {
        return coordination.heartbeats().liveMembers().stream()
                .map(Member::incarnation)
                .toList();
    }

    private OptionalLong reportToken(long windowRange) {
        return leases.findAuthority(LeaseUnit.report(Long.toString(windowRange)))
                .map(authority -> OptionalLong.of(authority.token()))
                .orElse(OptionalLong.empty());
    }

    private Member createMember(String incarnation) {
        DaemonSettings.Instance instance = settings.instance();
        return new Member(
                incarnation, instance.name(), instance.region(), instance.availabilityZone(), instance.host(), 0);
    }

    private TableService createResolvingTableService(TableService tableService, MetricRegistry metrics) {
        TableMetrics tableMetrics = new TableMetrics(timers);
        tableMetrics.register(metrics);
        Duration deadline = Duration.ofMillis(settings.tableService().deadlineMilliseconds());
        return new ResolvingTableService(
                tableService,
                timers,
                TableRetryPolicy.forCallDeadline(deadline),
                RandomGenerator.getDefault()::nextDouble,
                tableMetrics);
    }

    private void registerCoordinationMetrics(MetricRegistry metrics) {
        metrics.register("configuration_version", (Gauge<Long>)
                () -> coordination.snapshot().version());
        metrics.register(
                "configuration_fresh", (Gauge<Integer>) () -> coordination.mayServeAuthenticatedRoutes() ? 1 : 0);
        metrics.register("configuration_store_checks", (Gauge<Long>) coordination.guard()::storeChecks);
        metrics.register("configuration_peer_checks", (Gauge<Long>) coordination.guard()::peerChecks);
        metrics.register("members_live", (Gauge<Integer>)
                () -> coordination.heartbeats().liveMembers().size());
    }

    private GatewayContext createGatewayContext(Vertx vertx, MetricRegistry metrics) {
        RandomGenerator random = RandomGenerator.getDefault();
        return GatewayContext.create(
                settings,
                coordination::snapshot,
                timers,
                new TargetConnections(vertx, settings.targets(), timers),
                new TargetPool(TargetSelector.powerOfTwoChoices(), random),
                new RetryController(settings.retries(), timers, random),
                usage.recorder(),
                claims.service(),
                router,
                admission,
                metrics);
    }

    /** Starts all components and returns the bound ports. */
    public Future<BoundPorts> start() {
        leases.start();
        loadPoller.start();
        admission.start();
        loadExchange.start();
        usage.start();
        claims.start();
        String host = settings.instance().host();
        return gatewayServer
                .listen(host, settings.listen().callerPort())
                .compose(callerPort -> operatorServer
                        .listen(host, settings.listen().operatorPort())
                        .compose(operatorPort -> peers.listen(
                                        host, settings.listen().peerPort())
                                .map(peerPort -> new BoundPorts(callerPort, operatorPort, peerPort))))
                .onSuccess(ports -> coordination.start(ports.peerPort()))
                .onSuccess(ports -> LOG.infof(
                        "event=started instance=%s caller_port=%d operator_port=%d peer_port=%d",
                        settings.instance().name(), ports.callerPort(), ports.operatorPort(), ports.peerPort()));
    }

    /** Returns whether the load balancer should send traffic to this instance. */
    public boolean isReady() {
        return !draining && !coordination.snapshot().services().isEmpty();
    }

    /** Starts a graceful shutdown and returns the number of requests in flight. */
    private int triggerShutdown() {
        if (!draining) {
            shutdownTrigger.run();
        }
        return gatewayServer.requestsInFlight();
    }

    private StatusTable instanceStatus() {
        return new StatusTable(
                "instance",
                List.of("NAME", "AVAILABILITY ZONE", "VERSION", "READY", "DRAINING", "REQUESTS"),
                List.of(List.of(
                        settings.instance().name(),
                        settings.instance().availabilityZone(),
                        Long.toString(coordination.snapshot().version()),
                        Boolean.toString(isReady()),
                        Boolean.toString(draining),
                        Integer.toString(gatewayServer.requestsInFlight()))));
    }

    /**
     * Shuts down gracefully: reports not ready, waits for the load balancer, drains the requests in flight up to the
     * drain limit, and flushes usage.
     */
    public Completable shutDown() {
        draining = true;
        LOG.infof(
                "event=draining instance=%s requests=%d", settings.instance().name(), gatewayServer.requestsInFlight());
        Duration drainLimit = Duration.ofMillis(settings.shutdown().drainLimitMilliseconds());
        return timers.after(Duration.ofMillis(settings.shutdown().balancerDelayMilliseconds()))
                .andThen(Completable.fromAction(gatewayServer::startDraining))
                .andThen(timers.every(DRAIN_CHECK_PERIOD)
                        .takeUntil((Long tick) -> gatewayServer.isDrained())
                        .takeUntil(timers.after(drainLimit).toFlowable())
                        .ignoreElements())
                .andThen(Completable.defer(() -> {
                    loadExchange.stop();
                    admission.stop();
                    loadPoller.stop();
                    claims.stop();
                    usage.stop();
                    return usage.flush()
                            .onErrorComplete()
                            .andThen(leases.stop())
                            .andThen(coordination.leave());
                }))
                .doOnComplete(coordination::stop)
                .doOnComplete(() -> LOG.infof(
                        "event=stopped instance=%s", settings.instance().name()));
    }

    /** Ports that the instance listens on. */
    public record BoundPorts(int callerPort, int operatorPort, int peerPort) {}
}
