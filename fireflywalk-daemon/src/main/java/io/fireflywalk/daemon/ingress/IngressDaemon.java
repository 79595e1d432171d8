package io.fireflywalk.daemon.ingress;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.admission.CompletionRates;
import io.fireflywalk.core.ingress.ArrivedWorkCounter;
import io.fireflywalk.core.ingress.BodyMemory;
import io.fireflywalk.core.ingress.CallerBounds;
import io.fireflywalk.core.ingress.CallerMemory;
import io.fireflywalk.core.ingress.PromptPlacement;
import io.fireflywalk.core.ingress.RunnerLatencyModel;
import io.fireflywalk.core.ingress.ServiceLoads;
import io.fireflywalk.core.ingress.ServiceProfile;
import io.fireflywalk.core.ingress.ServiceProfile.EngineProfile;
import io.fireflywalk.core.ingress.TargetPicker;
import io.fireflywalk.core.ingress.TargetPlaces;
import io.fireflywalk.core.ingress.WorkBasedPicker;
import io.fireflywalk.core.store.StoreEras;
import io.fireflywalk.daemon.ingress.FleetStore.Table;
import io.fireflywalk.daemon.ingress.TargetCrashDetector.Connector;
import io.fireflywalk.daemon.operators.MetricsRenderer;
import io.fireflywalk.services.http.AcceptBounds;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/** Ingress process: creates and starts its components, and drains requests at shutdown. Confined to one event loop. */
public final class IngressDaemon {
    private static final Logger LOG = Logger.getLogger(IngressDaemon.class);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);
    private static final Duration CRASH_CHECK_TIMEOUT = Duration.ofMillis(300);
    /** Shorter than the idle time after which targets close connections, unless a target states a shorter one. */
    private static final int KEEP_ALIVE_SECONDS = 4;

    private static final int CONNECTIONS_PER_TARGET = 64;
    /** Fraction of a target's connections that the fleet uses; the rest is for instances that join. */
    private static final double USED_CONNECTIONS_FRACTION = 0.8;

    private static final int DEFAULT_CONNECTIONS = 200;
    private static final int MINIMUM_REQUESTS_PER_TARGET = 4;
    private static final Duration TARGET_POLL_INTERVAL = Duration.ofMillis(400);
    /** Bounds the calls of a reader while many targets change. */
    private static final Duration RELAYED_TARGET_POLL_INTERVAL = Duration.ofMillis(300);

    private static final Duration CONFIGURATION_POLL_INTERVAL = Duration.ofMillis(20);
    /** Short enough to detect an unresponsive connection within the time in which a change must take effect. */
    private static final Duration LONG_POLL_WAIT = Duration.ofSeconds(1);
    /**
     * Time in which the load balancer notices that the instance is not ready. Later requests are rejected, because a
     * stream that starts then may not end within the grace period.
     */
    private static final Duration LOAD_BALANCER_DELAY = Duration.ofSeconds(3);
    /** Part of the grace period that is reserved for the exit of the process. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(500);

    /** Time in which the last responses are written and the connections of callers are closed. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(100);

    private static final Duration LISTEN_RETRY_DELAY = Duration.ofMillis(250);
    private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Connections over the limit of callers that are being closed. */
    private static final int CLOSING_CONNECTIONS = 16;

    private final IngressSettings settings;
    private final Vertx vertx;
    private final TimerService timers;
    private final MetricRegistry registry = new MetricRegistry();
    private final IngressMetrics metrics = new IngressMetrics(registry);
    private final ConfigurationHolder configuration;
    private final TargetDirectory directory;
    private final TableWatcher configurationWatcher;
    private final TableWatcher targetWatcher;
    private final FleetCoordinator coordinator;
    private final PeerConfigurationSync peerConfiguration;
    private final IngressUsageReporter usageReporter;
    private final ArrivedWorkExchange arrivedWork;
    private final FleetScaler fleetScaler;
    private final PeerDatagrams datagrams;
    private final StoreRelay storeRelay;
    private final PromptQuarantine promptQuarantine;
    private final QuotaExchange quotas;
    private final EventLoopMonitor eventLoopMonitor;
    private final IngressServer server;
    private final DecisionHandler decisionHandler;
    private final CallerBounds callerBounds;
    private final CallerMemory callerMemory;
    private boolean draining;

    /** Returns the bounds of the connections that the listeners of a process accept. */
    public static AcceptBounds acceptBounds(IngressSettings settings) {
        CallerBounds bounds = callerBounds(settings);
        return new AcceptBounds(
                IngressSettings.port(settings.listen().callers()),
                bounds.connections() + CLOSING_CONNECTIONS,
                bounds.internalConnections());
    }

    private static CallerBounds callerBounds(IngressSettings settings) {
        return settings.callerBounds(Runtime.getRuntime().maxMemory(), ProcessLimits.openFiles());
    }

    /** Creates an ingress whose memory for request bodies is a part of the heap of the process. */
    public IngressDaemon(Vertx vertx, IngressSettings settings, IngressPlatform platform, TimerService timers) {
        this(
                vertx,
                settings,
                platform,
                timers,
                BodyMemory.ofHeap(Runtime.getRuntime().maxMemory()));
    }

    /** Creates an ingress. */
    public IngressDaemon(
            Vertx vertx,
            IngressSettings settings,
            IngressPlatform platform,
            TimerService timers,
            BodyMemory bodyMemory) {
        this.vertx = vertx;
        this.settings = settings;
        this.timers = timers;
        RandomGenerator random = RandomGenerator.getDefault();
        FleetStore store = platform.store();
        this.configuration = new ConfigurationHolder(platform.rowDecoder());
        this.directory = new TargetDirectory(
                platform.rowDecoder(), timers, this::timeSinceTargetTableRecovery, this::promptCacheTokens);
        this.configurationWatcher = new TableWatcher(
                store, Table.CONFIGURATION, timers, random, CONFIGURATION_POLL_INTERVAL, LONG_POLL_WAIT, configuration);
        this.targetWatcher = createTargetWatcher(store, random);
        this.coordinator = new FleetCoordinator(settings, store, timers, random);
        this.peerConfiguration = new PeerConfigurationSync(
                vertx, settings, timers, random, configuration, configurationWatcher, coordinator);
        UsageCounter usageCounter = createUsageCounter(settings, timers);
        PromptPlacement promptPlacement = new PromptPlacement(RunnerLatencyModel.defaults(), random);
        this.datagrams = new PeerDatagrams(vertx);
        FleetBroadcaster broadcaster = new FleetBroadcaster(datagrams, settings, coordinator, random);
        this.usageReporter = createUsageReporter(platform, usageCounter, broadcaster);
        PlacementBroadcaster placementBroadcaster = new PlacementBroadcaster(broadcaster, timers, directory);
        boolean contention = platform.features().contains(DeploymentFeature.CONTENTION);
        ServiceLoads loads = new ServiceLoads(contention);
        this.arrivedWork = createArrivedWork(contention, promptPlacement, metrics);
        placementBroadcaster.onPlacement(arrivedWork::countPlacement);
        this.fleetScaler =
                createFleetScaler(platform, metrics, new StageChangeBroadcaster(broadcaster, timers, directory));
        this.storeRelay = new StoreRelay(
                settings,
                datagrams,
                coordinator,
                timers,
                List.of(configurationWatcher, targetWatcher, coordinator.watcher()));
        this.promptQuarantine =
                new PromptQuarantine(settings, broadcaster, directory, coordinator, store, timers, random, metrics);
        this.quotas =
                new QuotaExchange(settings, configuration, coordinator, store, datagrams, timers, random, metrics);
        TargetCrashDetector crashDetector = new TargetCrashDetector(
                timers, Connector.of(createCrashCheckClient(vertx)), metrics, promptQuarantine::onCrash);
        this.eventLoopMonitor = new EventLoopMonitor(timers, metrics);
        TargetConnectionTracker targetConnections = new TargetConnectionTracker(
                timers, metrics, platform.targetProtocol().attemptIdentifierHeader());
        RequestQueue requestQueue = createRequestQueue(platform, random, metrics);
        IngressContext context = new IngressContext(
                settings,
                timers,
                random,
                createTargetClient(vertx, targetConnections),
                targetConnections,
                platform.callerProtocol(),
                platform.targetProtocol(),
                configuration,
                directory,
                createTargetChooser(loads, promptPlacement, metrics, random),
                promptPlacement,
                placementBroadcaster,
                arrivedWork,
                crashDetector,
                promptQuarantine,
                new RetryBudgets(settings.bounds(), timers, coordinator::instanceCount),
                requestQueue,
                platform.features(),
                usageCounter,
                quotas,
                metrics,
                eventLoopMonitor,
                bodyMemory,
                () -> draining);
        this.callerBounds = callerBounds(settings);
        this.callerMemory = new CallerMemory(callerBounds.memoryBytes());
        this.server =
                new IngressServer(vertx, context, this::requestsPerTarget, callerBounds, callerMemory, this::hasLoaded);
        this.decisionHandler = new DecisionHandler(context, this::requestsPerTarget, server::isRejectingNewRequests);
        registerGauges(bodyMemory, requestQueue);
        registerStoreGauges(store.eras());
    }

    private IngressUsageReporter createUsageReporter(
            IngressPlatform platform, UsageCounter counter, FleetBroadcaster broadcaster) {
        UsageExchange exchange =
                new UsageExchange(settings, platform.store(), coordinator, broadcaster, datagrams, timers);
        return new IngressUsageReporter(
                settings, platform.store(), platform.controlPlane(), counter, coordinator, exchange, timers);
    }

    private TableWatcher createTargetWatcher(FleetStore store, RandomGenerator random) {
        boolean relayUsable = StoreRelay.usableWith(settings.bounds());
        return new TableWatcher(
                store,
                Table.TARGETS,
                timers,
                random,
                relayUsable ? RELAYED_TARGET_POLL_INTERVAL : TARGET_POLL_INTERVAL,
                relayUsable ? LONG_POLL_WAIT : Duration.ZERO,
                directory);
    }

    private ArrivedWorkExchange createArrivedWork(
            boolean followsDemand, PromptPlacement promptPlacement, IngressMetrics metrics) {
        return new ArrivedWorkExchange(
                settings,
                datagrams,
                coordinator,
                configuration,
                directory,
                promptPlacement,
                new ArrivedWorkCounter(RunnerLatencyModel.defaults()),
                service -> followsDemand,
                timers,
                metrics);
    }

    private FleetScaler createFleetScaler(
            IngressPlatform platform, IngressMetrics metrics, StageChangeBroadcaster stageChanges) {
        return new FleetScaler(
                settings,
                platform.store(),
                platform.controlPlane(),
                stageChanges.announcing(platform.targetCommands()),
                coordinator,
                configuration,
                directory,
                new DemandPlanner(arrivedWork, metrics, timers),
                timers);
    }

    private TargetChooser createTargetChooser(
            ServiceLoads loads, PromptPlacement promptPlacement, IngressMetrics metrics, RandomGenerator random) {
        return new TargetChooser(
                new TargetPicker(random),
                new WorkBasedPicker(random),
                promptPlacement,
                loads,
                metrics,
                settings.instance().availabilityZone());
    }

    private void registerGauges(BodyMemory bodyMemory, RequestQueue requestQueue) {
        registry.register("body_bytes_held", (Gauge<Long>) bodyMemory::heldBytes);
        registry.register("body_bytes_maximum", (Gauge<Long>) bodyMemory::maximumBytes);
        registry.register("bodies_waiting", (Gauge<Integer>) bodyMemory::waitingBodies);
        registry.register("requests_waiting", (Gauge<Integer>) requestQueue::waiting);
        registry.register("caller_memory_held", (Gauge<Long>) () -> callerMemory.heldBytes() + bodyMemory.heldBytes());
        registry.register(
                "caller_memory_maximum", (Gauge<Long>) () -> callerMemory.maximumBytes() + bodyMemory.maximumBytes());
        registry.register("caller_memory_responses", (Gauge<Long>) callerMemory::heldByResponses);
        registry.register("caller_connections", (Gauge<Integer>) server::connections);
        registry.register("caller_connections_maximum", (Gauge<Integer>) callerBounds::connections);
        registry.register("configuration_version", (Gauge<Long>) configuration::version);
        registry.register("targets", (Gauge<Integer>) directory::size);
        registry.register("instances", (Gauge<Integer>) coordinator::instanceCount);
        registry.register("requests_in_flight", (Gauge<Integer>) server::requestsInFlight);
        registry.register("planned_targets", (Gauge<Integer>) fleetScaler::plannedTargets);
        registry.register("quarantined_parts", (Gauge<Integer>) promptQuarantine::size);
        registry.register(
                "lease_held", (Gauge<Integer>) () -> coordinator.fencingToken().isPresent() ? 1 : 0);
    }

    private void registerStoreGauges(StoreEras eras) {
        registry.register("store_era", (Gauge<Long>) () -> eras.current().orElse(0L));
        registry.register("store_era_changes", (Gauge<Long>) eras::changes);
        registry.register("store_era_invalid", (Gauge<Long>) eras::invalid);
    }

    private static UsageCounter createUsageCounter(IngressSettings settings, TimerService timers) {
        return new UsageCounter(
                timers,
                Duration.ofSeconds(settings.bounds().usageWindowSeconds()).toMillis());
    }

    private RequestQueue createRequestQueue(IngressPlatform platform, RandomGenerator random, IngressMetrics metrics) {
        CompletionRates completionRates = new CompletionRates();
        return new RequestQueue(
                platform.features().contains(DeploymentFeature.CONTENTION),
                timers,
                random,
                directory,
                (service, now) -> TargetPlaces.of(
                        directory.forService(service),
                        requestsPerTarget(service),
                        completionRates.perSecond(service, now),
                        now),
                completionRates,
                // The configuration states no priorities of accounts yet.
                account -> AccountPriorities.DEFAULT,
                metrics);
    }

    private static HttpClient createTargetClient(Vertx vertx, TargetConnectionTracker connections) {
        return vertx.httpClientBuilder()
                .with(new HttpClientOptions()
                        .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS))
                .with(new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_TARGET))
                .withConnectHandler(connections::opened)
                .build();
    }

    private static NetClient createCrashCheckClient(Vertx vertx) {
        return vertx.createNetClient(new NetClientOptions().setConnectTimeout((int) CRASH_CHECK_TIMEOUT.toMillis()));
    }

    private Duration timeSinceTargetTableRecovery() {
        return targetWatcher.timeSinceRecovery();
    }

    private int promptCacheTokens(String service) {
        return configuration
                .current()
                .flatMap(current -> current.service(service))
                .flatMap(ServiceProfile::engine)
                .map(EngineProfile::promptCacheTokens)
                .orElse(0);
    }

    private int requestsPerTarget(String service) {
        int connections = configuration
                .current()
                .flatMap(current -> current.service(service))
                .map(ServiceProfile::maximumConnections)
                .filter(stated -> stated > 0)
                .orElse(DEFAULT_CONNECTIONS);
        int share = (int) (USED_CONNECTIONS_FRACTION * connections / coordinator.instanceCount());
        return Math.min(CONNECTIONS_PER_TARGET, Math.max(MINIMUM_REQUESTS_PER_TARGET, share));
    }

    /** Starts watching the store and listening for requests. */
    public Future<?> start() {
        configurationWatcher.start();
        targetWatcher.start();
        coordinator.start();
        usageReporter.start();
        arrivedWork.start();
        fleetScaler.start();
        peerConfiguration.start();
        storeRelay.start();
        promptQuarantine.start();
        eventLoopMonitor.start();
        String readiness = settings.listen().readiness();
        String callers = settings.listen().callers();
        String host = settings.instance().host();
        return listen(() -> server.listen(IngressSettings.host(callers), IngressSettings.port(callers)))
                .compose(ignored -> listen(() -> internalGuard()
                        .listenInternally(
                                vertx,
                                this::checkReadiness,
                                IngressSettings.host(readiness),
                                IngressSettings.port(readiness))))
                .compose(ignored -> listen(() -> peerConfiguration.listen(
                        internalGuard(), host, settings.listen().peerPort())))
                .compose(ignored ->
                        listen(() -> datagrams.listen(host, settings.listen().peerPort())))
                .onSuccess(ignored -> quotas.start())
                .compose(ignored -> listen(() -> internalGuard()
                        .listenInternally(
                                vertx,
                                this::handleInternalRequest,
                                host,
                                settings.listen().metricsPort())))
                .onSuccess(ignored -> LOG.infof(
                        "event=started instance=%s zone=%s callers=%s readiness=%s store=%s",
                        settings.instance().name(),
                        settings.instance().availabilityZone(),
                        callers,
                        readiness,
                        settings.store()));
    }

    private void handleInternalRequest(HttpServerRequest request) {
        if (DecisionHandler.PATH.equals(request.path())) {
            decisionHandler.handle(request);
        } else {
            request.response().end(MetricsRenderer.render(registry));
        }
    }

    private ListenerGuard internalGuard() {
        // The configuration must not lock out readiness checks and the instances that pass on a newer configuration.
        return new ListenerGuard(
                timers,
                callerMemory,
                callerBounds,
                callerBounds::headBytes,
                callerBounds.internalConnections(),
                metrics);
    }

    /** Retries until the port is free, because the process that this one replaces may still hold it. */
    private Future<?> listen(Supplier<Future<?>> listener) {
        return listener.get().recover(cause -> {
            LOG.warnf(
                    cause,
                    "event=listen_failed instance=%s",
                    settings.instance().name());
            Promise<Void> delay = Promise.promise();
            var unused = timers.after(LISTEN_RETRY_DELAY).subscribe(delay::complete);
            return delay.future().compose(ignored -> listen(listener)).mapEmpty();
        });
    }

    private boolean hasLoaded() {
        return configuration.current().isPresent() && targetWatcher.loaded();
    }

    private void checkReadiness(HttpServerRequest request) {
        boolean ready = !draining && hasLoaded();
        request.response().setStatusCode(ready ? 200 : 503).end();
    }

    /** Logs that the settings file has changed; the change takes effect at the next start. */
    public void settingsChanged() {
        LOG.infof(
                "event=settings_changed instance=%s effect=\"at the next start\"",
                settings.instance().name());
    }

    /**
     * Shuts down gracefully: fails the readiness check, waits for the load balancer, drains requests, closes the port and
     * the connections of callers, and stores usage counts.
     */
    public Completable shutDown() {
        if (draining) {
            return Completable.never();
        }
        draining = true;
        coordinator.resign();
        quotas.resign();
        LOG.infof("event=draining instance=%s requests=%d", settings.instance().name(), server.requestsInFlight());
        Duration grace = Duration.ofMillis((long) (1000 * settings.bounds().gracePeriodSeconds()))
                .minus(EXIT_MARGIN);
        return timers.after(LOAD_BALANCER_DELAY)
                .andThen(Completable.fromAction(server::rejectNewRequests))
                .andThen(timers.every(DRAIN_CHECK_INTERVAL)
                        .doOnNext(tick -> server.closeIdleConnections())
                        .takeUntil((Long tick) -> server.hasNoConnections())
                        .takeUntil(timers.after(grace.minus(LOAD_BALANCER_DELAY).minus(EXIT_MARGIN))
                                .toFlowable())
                        .ignoreElements())
                .andThen(server.close().ambWith(timers.after(CLOSE_TIMEOUT)))
                .andThen(Completable.defer(() -> {
                    fleetScaler.stop();
                    coordinator.stop();
                    return usageReporter
                            .stop()
                            .doOnError(cause -> LOG.warnf("event=usage_not_stored cause=\"%s\"", cause.getMessage()))
                            .onErrorComplete()
                            .ambWith(timers.after(EXIT_MARGIN));
                }))
                .doOnComplete(() -> LOG.infof(
                        "event=stopped instance=%s", settings.instance().name()));
    }
}
