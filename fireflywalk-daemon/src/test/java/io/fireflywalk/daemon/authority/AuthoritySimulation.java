package io.fireflywalk.daemon.authority;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.lease.LeaseTerms;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.core.order.EngineAssignment;
import io.fireflywalk.core.order.EngineOrder;
import io.fireflywalk.core.order.EngineOrderIntent;
import io.fireflywalk.core.order.EngineOrderResponse;
import io.fireflywalk.core.order.EngineRole;
import io.fireflywalk.core.order.EngineState;
import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.core.order.TargetOrderIntent;
import io.fireflywalk.core.order.TargetOrderOutcome;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.order.EngineOrderClient;
import io.fireflywalk.services.order.PlatformInstance;
import io.fireflywalk.services.order.PlatformTarget;
import io.fireflywalk.services.order.TargetProvisioner;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.fireflywalk.standin.SimulatedOrderEngine;
import io.fireflywalk.standin.SimulatedPlatform;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Simulates three instances with real lease managers and order services, one engine, the platform and the table service,
 * in virtual time on one thread. Checks each order when it arrives at its receiver, and all instances after each event.
 */
final class AuthoritySimulation {
    static final int INSTANCES = 3;
    private static final double DRIFT_BOUND = 0.1;
    private static final long INSTANCE_LIST_LAG_NANOSECONDS = 1_000_000_000L;
    private static final long ENGINE_CHANGE_NANOSECONDS = 3_000_000_000L;
    private static final Duration CALL_DEADLINE = Duration.ofSeconds(2);
    private static final Duration LONG_DELIVERY_BOUND = Duration.ofSeconds(60);
    private static final Duration SUBMIT_PERIOD = Duration.ofSeconds(4);
    private static final OrderSettings ORDER_SETTINGS = new OrderSettings(
            Duration.ofMillis(500), Duration.ofSeconds(8), Duration.ofSeconds(10), Duration.ofSeconds(1000));
    private static final AuthoritySettings LEASE_SETTINGS = new AuthoritySettings(
            new LeaseTerms(Duration.ofSeconds(8), DRIFT_BOUND, CALL_DEADLINE),
            Duration.ofMillis(1500),
            Duration.ofMillis(1500),
            Duration.ofMillis(250),
            CALL_DEADLINE);
    private static final LeaseUnit POOL = LeaseUnit.pool("draft");
    private static final LeaseUnit ZONE = LeaseUnit.zone("zone-a");
    private static final List<EngineRole> ROLES = List.of(EngineRole.values());

    private final Random random;
    private final SimulatedNetwork network;
    private final TableService tables = new InMemoryTableService();
    private final SimulatedOrderEngine engine;
    private final SimulatedPlatform platform = new SimulatedPlatform(INSTANCE_LIST_LAG_NANOSECONDS, true);
    private final Target target;
    private final Instance[] instances = new Instance[INSTANCES];
    private final Set<String> submittedTargetOrders = new HashSet<>();
    private int startedProcesses;
    private boolean storeDown;
    private Optional<String> violation = Optional.empty();

    AuthoritySimulation(long seed, OrderChecking checking) {
        this.random = new Random(seed);
        this.network = new SimulatedNetwork(random);
        this.engine = new SimulatedOrderEngine(checking, assignment(EngineRole.MIXED), ENGINE_CHANGE_NANOSECONDS);
        this.target =
                new Target("draft-1", "draft", "127.0.0.1", 1, "zone-a", "1", TargetCharge.REGULAR, checking, false);
        for (int index = 0; index < INSTANCES; index++) {
            start(index);
        }
    }

    /** Advances the simulation by the given time. */
    void run(Duration time) {
        long end = network.now() + time.toNanos();
        runUntil(() -> false, end);
        network.advanceTo(end);
    }

    /** Point of execution at which a process is paused or killed. */
    enum Point {
        /** An order has passed the lease check and has not left the process. */
        ORDER_CHECKED,
        /** A request of any kind has not left the process. */
        BEFORE_SEND,
        /** A response has arrived and has not been processed. */
        RESPONSE_UNPROCESSED
    }

    /** Runs until an instance reaches the point, for at most 10 s, and then pauses it. */
    void pauseAt(int index, Point point) {
        instances[runUntilPoint(index, point)].process().setPaused(true);
    }

    void resume(int index) {
        instances[index].process().setPaused(false);
    }

    /** Runs until an instance reaches the point, for at most 10 s, and then replaces it by a new one. */
    void killAt(int preferredIndex, Point point, boolean sendOutbox) {
        int index = runUntilPoint(preferredIndex, point);
        Instance old = instances[index];
        old.process().kill(sendOutbox);
        platform.recordInstanceStatus(old.process().incarnation, PlatformInstance.Status.TERMINATED, network.now());
        start(index);
    }

    void crashEngine() {
        engine.crashAndRestart(network.now());
    }

    void setStoreDown(boolean value) {
        storeDown = value;
    }

    void setLossRate(double rate) {
        network.setLossRate(rate);
    }

    /** Ends all faults and checks that orders take effect again. */
    void checkRecovery() {
        storeDown = false;
        network.setLossRate(0);
        for (int index = 0; index < INSTANCES; index++) {
            resume(index);
        }
        run(Duration.ofSeconds(100));
        long effectiveBefore = effectiveOrders();
        int executedBefore = platform.executedOrders().size();
        run(Duration.ofMinutes(2));
        check(
                effectiveOrders() > effectiveBefore,
                () -> "no engine order took effect after the faults had ended: " + engineIntent() + leaseRows());
        check(
                platform.executedOrders().size() > executedBefore,
                () -> "no target order was executed after the faults had ended: " + leaseRows());
        failOnViolation();
    }

    /**
     * Returns the instance that reached the point: for orders, the first one that sends; otherwise the preferred one.
     */
    private int runUntilPoint(int preferredIndex, Point point) {
        long end = network.now() + Duration.ofSeconds(10).toNanos();
        SimulatedProcess process = instances[preferredIndex].process();
        switch (point) {
            case BEFORE_SEND -> runUntil(process::hasOutbound, end);
            case RESPONSE_UNPROCESSED -> runUntil(process::hasInbound, end);
            default -> runUntil(() -> instanceSendingOrder().isPresent(), end);
        }
        return point == Point.ORDER_CHECKED ? instanceSendingOrder().orElse(preferredIndex) : preferredIndex;
    }

    private Optional<Integer> instanceSendingOrder() {
        for (int index = 0; index < INSTANCES; index++) {
            SimulatedProcess process = instances[index].process();
            if (process.isRunning() && process.hasOutboundOrder()) {
                return Optional.of(index);
            }
        }
        return Optional.empty();
    }

    private void runUntil(BooleanSupplier reached, long end) {
        while (!reached.getAsBoolean()) {
            long next = network.nextAt();
            Optional<SimulatedProcess> firstProcess = Optional.empty();
            for (Instance instance : instances) {
                if (instance.process().nextAt() < next) {
                    next = instance.process().nextAt();
                    firstProcess = Optional.of(instance.process());
                }
            }
            if (next > end) {
                return;
            }
            network.advanceTo(next);
            firstProcess.ifPresentOrElse(SimulatedProcess::step, network::step);
            checkHolders(POOL);
            checkHolders(ZONE);
            failOnViolation();
        }
    }

    private void start(int index) {
        startedProcesses++;
        double clockRate = 1 + DRIFT_BOUND * (random.nextInt(3) - 1);
        SimulatedProcess process = new SimulatedProcess("instance-" + startedProcesses, network, clockRate);
        platform.recordInstanceStatus(process.incarnation, PlatformInstance.Status.LIVE, network.now());
        SchedulerTimerService timers = new SchedulerTimerService(process);
        MetricRegistry metrics = new MetricRegistry();
        Random processRandom = new Random(random.nextLong());
        TableService store = new RemoteTables(process);
        LeaseManager leaseManager = new LeaseManager(
                process.incarnation,
                LEASE_SETTINGS,
                store,
                timers,
                processRandom,
                metrics,
                () -> List.of(POOL, ZONE),
                this::liveMembers);
        RemoteReceivers receivers = new RemoteReceivers(process, leaseManager);
        EngineOrderService engineOrders = new EngineOrderService(
                process.incarnation,
                leaseManager,
                store,
                receivers,
                receivers,
                timers,
                ORDER_SETTINGS,
                processRandom,
                metrics);
        TargetOrderService targetOrders = new TargetOrderService(
                process.incarnation, leaseManager, store, receivers, timers, ORDER_SETTINGS, processRandom, metrics);
        instances[index] = new Instance(process, leaseManager);
        leaseManager.whileHeld(
                POOL,
                authority -> engineOrders
                        .resumePending(POOL, () -> List.of(target))
                        .onErrorComplete()
                        .andThen(timers.every(SUBMIT_PERIOD)
                                .concatMapCompletable(tick -> engineOrders
                                        .submit(
                                                authority,
                                                target,
                                                assignment(ROLES.get(processRandom.nextInt(ROLES.size()))))
                                        .ignoreElement()
                                        .onErrorComplete())));
        leaseManager.whileHeld(
                ZONE,
                authority -> Completable.fromAction(() -> targetOrders.resumePending(ZONE))
                        .andThen(timers.every(SUBMIT_PERIOD).concatMapCompletable(tick -> {
                            String id = process.incarnation + "-" + submittedTargetOrders.size();
                            submittedTargetOrders.add(id);
                            return targetOrders
                                    .submit(
                                            authority,
                                            TargetOrder.order(id, "zone-a", "small", TargetCharge.REGULAR, 1))
                                    .onErrorComplete();
                        })));
        leaseManager.start();
        engineOrders.start();
        targetOrders.start();
    }

    private List<String> liveMembers() {
        List<String> live = new ArrayList<>();
        for (Instance instance : instances) {
            if (instance != null && instance.process().isAlive()) {
                live.add(instance.process().incarnation);
            }
        }
        return live;
    }

    /** Checks that at most one process holds a unit. Includes paused ones, which read their clock when they resume. */
    private void checkHolders(LeaseUnit unit) {
        long holders = List.of(instances).stream()
                .filter(instance -> instance.process().isAlive())
                .filter(instance -> instance.leaseManager().findAuthority(unit).isPresent())
                .count();
        check(holders <= 1, () -> holders + " processes hold the lease of " + unit.key());
    }

    /** Checks that an order takes effect only while it is the pending one. */
    private EngineOrderResponse onArrival(EngineOrder order) {
        long effectiveBefore = effectiveOrders();
        EngineOrderResponse response = engine.receive(order, network.now());
        if (effectiveOrders() > effectiveBefore) {
            Optional<EngineOrderIntent> intent = engineIntent();
            check(
                    intent.filter(row -> row.orderId().equals(order.id())
                                    && row.status() == EngineOrderIntent.Status.PENDING)
                            .isPresent(),
                    () -> "stale order took effect: " + order + " with intent " + intent);
            check(
                    engine.received().stream().noneMatch(seen -> seen.effect() == SimulatedOrderEngine.Effect.CONFLICT),
                    () -> "conflicting order took effect: " + order);
        }
        return response;
    }

    private TargetOrderOutcome onArrival(TargetOrder order) {
        int before = platform.executedOrders().size();
        TargetOrderOutcome outcome = platform.execute(order);
        if (platform.executedOrders().size() > before) {
            Optional<TargetOrderIntent> intent = decode("target-order", "zone-a", TargetOrderIntent.class);
            check(
                    intent.filter(row -> row.order().id().equals(order.id()) && row.awaitsOutcome())
                            .isPresent(),
                    () -> "executed target order is not pending: " + order + " with intent " + intent);
            check(
                    new HashSet<>(platform.executedOrders()).size()
                            == platform.executedOrders().size(),
                    () -> "target order executed twice: " + order);
            check(
                    submittedTargetOrders.contains(order.id()),
                    () -> "executed target order was never submitted: " + order);
        }
        return outcome;
    }

    private long effectiveOrders() {
        return engine.received().stream()
                .filter(Predicate.not(seen -> seen.effect() == SimulatedOrderEngine.Effect.REFUSED
                        || seen.effect() == SimulatedOrderEngine.Effect.NONE))
                .count();
    }

    private Optional<EngineOrderIntent> engineIntent() {
        return decode("engine-order", "draft/draft-1", EngineOrderIntent.class);
    }

    private <T> Optional<T> decode(String table, String key, Class<T> type) {
        return tables.read(table, key).blockingGet().map(row -> {
            try {
                return Codec.json().read(row.value(), type, key);
            } catch (FireflywalkException exception) {
                throw new IllegalStateException(exception);
            }
        });
    }

    private static EngineAssignment assignment(EngineRole role) {
        return new EngineAssignment(role, "draft", "1", List.of());
    }

    /** Records the first violation instead of throwing, because RxJava would turn the error into a stream signal. */
    private void check(boolean condition, Supplier<String> message) {
        if (!condition && violation.isEmpty()) {
            violation = Optional.of(message.get());
        }
    }

    private void failOnViolation() {
        violation.ifPresent(message -> {
            throw new AssertionError(message);
        });
    }

    private String leaseRows() {
        return tables.scan("lease", "", "", INSTANCES).blockingGet() + " live " + liveMembers();
    }

    private record Instance(SimulatedProcess process, LeaseManager leaseManager) {}

    /** Table service client of one process over the simulated network. */
    private final class RemoteTables implements TableService {
        private final SimulatedProcess process;

        RemoteTables(SimulatedProcess process) {
            this.process = process;
        }

        @Override
        public Single<TransactionResult> execute(Transaction transaction) {
            return call(() -> tables.execute(transaction).blockingGet());
        }

        @Override
        public Single<Optional<Row>> read(String table, String key) {
            return call(() -> tables.read(table, key).blockingGet());
        }

        @Override
        public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
            return call(() -> tables.scan(table, prefix, after, limit).blockingGet());
        }

        private <T> Single<T> call(Supplier<T> operation) {
            return Single.defer(() -> storeDown
                    ? Single.<T>never()
                            .timeout(CALL_DEADLINE.toNanos(), java.util.concurrent.TimeUnit.NANOSECONDS, process)
                    : network.call(process, CALL_DEADLINE, LONG_DELIVERY_BOUND, operation));
        }
    }

    /** Engine and platform clients of one process over the simulated network. */
    private final class RemoteReceivers implements EngineOrderClient, TargetProvisioner {
        private final SimulatedProcess process;
        private final LeaseManager leaseManager;

        RemoteReceivers(SimulatedProcess process, LeaseManager leaseManager) {
            this.process = process;
            this.leaseManager = leaseManager;
        }

        @Override
        public Single<EngineOrderResponse> send(Target engineTarget, EngineOrder order) {
            check(leaseManager.findAuthority(POOL).isPresent(), () -> "engine order sent without the lease: " + order);
            Duration bound = engineTarget.orderChecking() == OrderChecking.CHECKS_FENCING_TOKEN
                    ? LONG_DELIVERY_BOUND
                    : ORDER_SETTINGS.deliveryBound().multipliedBy(8).dividedBy(10);
            return network.sendOrder(process, CALL_DEADLINE, bound, () -> onArrival(order));
        }

        @Override
        public Single<EngineState> state(Target engineTarget) {
            return network.call(process, CALL_DEADLINE, LONG_DELIVERY_BOUND, () -> engine.state(network.now()));
        }

        @Override
        public Single<TargetOrderOutcome> execute(TargetOrder order) {
            check(leaseManager.findAuthority(ZONE).isPresent(), () -> "target order sent without the lease: " + order);
            return network.sendOrder(process, CALL_DEADLINE, LONG_DELIVERY_BOUND, () -> onArrival(order));
        }

        @Override
        public Single<Optional<TargetOrderOutcome>> find(String orderId) {
            return network.call(process, CALL_DEADLINE, LONG_DELIVERY_BOUND, () -> platform.findOutcome(orderId));
        }

        @Override
        public Single<List<PlatformTarget>> targets(String availabilityZone) {
            return network.call(process, CALL_DEADLINE, LONG_DELIVERY_BOUND, () -> platform.targets(availabilityZone));
        }

        @Override
        public Single<List<PlatformInstance>> instances() {
            return network.call(process, CALL_DEADLINE, LONG_DELIVERY_BOUND, () -> platform.instances(network.now()));
        }
    }
}
