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
import io.fireflywalk.core.order.EngineOrderAnswer;
import io.fireflywalk.core.order.EngineOrderIntent;
import io.fireflywalk.core.order.EngineRole;
import io.fireflywalk.core.order.EngineState;
import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.core.order.TargetOrderIntent;
import io.fireflywalk.core.order.TargetOrderOutcome;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.order.EngineOrderClient;
import io.fireflywalk.services.order.PlatformInstance;
import io.fireflywalk.services.order.PlatformTarget;
import io.fireflywalk.services.order.TargetPlatform;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.fireflywalk.standin.EngineOrderBook;
import io.fireflywalk.standin.PlatformLedger;
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
 * Three instances with their real lease keepers and order services, one engine, the platform and the table service, in
 * simulated time on one thread. The checks run at the receivers, at each arrival, and over all instances after each
 * event.
 */
final class AuthoritySimulation {
    static final int INSTANCES = 3;
    private static final double DRIFT_BOUND = 0.1;
    private static final long LAG_NANOSECONDS = 1_000_000_000L;
    private static final long CHANGE_NANOSECONDS = 3_000_000_000L;
    private static final Duration CALL_DEADLINE = Duration.ofSeconds(2);
    private static final Duration UNBOUNDED = Duration.ofSeconds(60);
    private static final Duration WORK_PERIOD = Duration.ofSeconds(4);
    private static final OrderSettings ORDERS = new OrderSettings(
            Duration.ofMillis(500), Duration.ofSeconds(8), Duration.ofSeconds(10), Duration.ofSeconds(1000));
    private static final AuthoritySettings LEASES = new AuthoritySettings(
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
    private final EngineOrderBook engine;
    private final PlatformLedger platform = new PlatformLedger(LAG_NANOSECONDS, true);
    private final Target target;
    private final Instance[] instances = new Instance[INSTANCES];
    private final Set<String> submittedTargetOrders = new HashSet<>();
    private int incarnations;
    private boolean storeOut;
    private Optional<String> violation = Optional.empty();

    AuthoritySimulation(long seed, OrderChecking checking) {
        this.random = new Random(seed);
        this.network = new SimulatedNetwork(random);
        this.engine = new EngineOrderBook(checking, assignment(EngineRole.MIXED), CHANGE_NANOSECONDS);
        this.target =
                new Target("draft-1", "draft", "127.0.0.1", 1, "zone-a", "1", TargetCharge.REGULAR, checking, false);
        for (int index = 0; index < INSTANCES; index++) {
            start(index);
        }
    }

    /** Runs for some time. */
    void run(Duration time) {
        long end = network.now() + time.toNanos();
        runUntil(() -> false, end);
        network.advanceTo(end);
    }

    /** Point at which a process is paused or killed. */
    enum Point {
        /** An order has passed the check of the lease and has not left the process. */
        ORDER_CHECKED,
        /** Any request has not left the process. */
        BEFORE_SEND,
        /** An answer has arrived and has not been processed. */
        ANSWER_UNREAD
    }

    /** Runs until an instance reaches the point, for at most some seconds; then pauses it. */
    void pauseAt(int index, Point point) {
        instances[runUntilPoint(index, point)].process().setPaused(true);
    }

    void resume(int index) {
        instances[index].process().setPaused(false);
    }

    /** Kills an instance at such a point and starts another one in its place. */
    void killAt(int given, Point point, boolean outboxLeaves) {
        int index = runUntilPoint(given, point);
        Instance old = instances[index];
        old.process().kill(outboxLeaves);
        platform.setInstance(old.process().incarnation, PlatformInstance.Status.TERMINATED, network.now());
        start(index);
    }

    void crashEngine() {
        engine.crash(network.now());
    }

    void setStoreOut(boolean value) {
        storeOut = value;
    }

    void setLossShare(double share) {
        network.setLossShare(share);
    }

    /** Ends all faults and checks that orders take effect again. */
    void checkRecovery() {
        storeOut = false;
        network.setLossShare(0);
        for (int index = 0; index < INSTANCES; index++) {
            resume(index);
        }
        run(Duration.ofSeconds(100));
        long orders = effects();
        int bought = platform.executedOrders().size();
        run(Duration.ofMinutes(2));
        require(
                effects() > orders,
                () -> "no engine order took effect after the faults had ended: " + engineIntent() + leaseRows());
        require(
                platform.executedOrders().size() > bought,
                () -> "no target order after the faults had ended: " + leaseRows());
        failOnViolation();
    }

    /** Returns the instance that was run to the point: for orders whichever one sends first, else the given one. */
    private int runUntilPoint(int given, Point point) {
        long end = network.now() + Duration.ofSeconds(10).toNanos();
        SimulatedProcess process = instances[given].process();
        switch (point) {
            case BEFORE_SEND -> runUntil(process::hasOutgoing, end);
            case ANSWER_UNREAD -> runUntil(process::hasIncoming, end);
            default -> runUntil(() -> sendingOrder().isPresent(), end);
        }
        return point == Point.ORDER_CHECKED ? sendingOrder().orElse(given) : given;
    }

    private Optional<Integer> sendingOrder() {
        for (int index = 0; index < INSTANCES; index++) {
            SimulatedProcess process = instances[index].process();
            if (process.isRunning() && process.hasOutgoingOrder()) {
                return Optional.of(index);
            }
        }
        return Optional.empty();
    }

    private void runUntil(BooleanSupplier reached, long end) {
        while (!reached.getAsBoolean()) {
            long next = network.nextAt();
            Optional<SimulatedProcess> first = Optional.empty();
            for (Instance instance : instances) {
                if (instance.process().nextAt() < next) {
                    next = instance.process().nextAt();
                    first = Optional.of(instance.process());
                }
            }
            if (next > end) {
                return;
            }
            network.advanceTo(next);
            first.ifPresentOrElse(SimulatedProcess::step, network::step);
            checkHolders(POOL);
            checkHolders(ZONE);
            failOnViolation();
        }
    }

    private void start(int index) {
        incarnations++;
        double rate = 1 + DRIFT_BOUND * (random.nextInt(3) - 1);
        SimulatedProcess process = new SimulatedProcess("instance-" + incarnations, network, rate);
        platform.setInstance(process.incarnation, PlatformInstance.Status.LIVE, network.now());
        SchedulerTimerService timers = new SchedulerTimerService(process);
        MetricRegistry metrics = new MetricRegistry();
        Random own = new Random(random.nextLong());
        TableService store = new RemoteTables(process);
        LeaseKeeper keeper = new LeaseKeeper(
                process.incarnation, LEASES, store, timers, own, metrics, () -> List.of(POOL, ZONE), this::liveMembers);
        RemoteReceivers receivers = new RemoteReceivers(process, keeper);
        EngineOrderService engineOrders = new EngineOrderService(
                process.incarnation, keeper, store, receivers, receivers, timers, ORDERS, own, metrics);
        TargetOrderService targetOrders =
                new TargetOrderService(process.incarnation, keeper, store, receivers, timers, ORDERS, own, metrics);
        instances[index] = new Instance(process, keeper);
        keeper.whileHeld(
                POOL,
                authority -> engineOrders
                        .adopt(POOL, () -> List.of(target))
                        .onErrorComplete()
                        .andThen(timers.every(WORK_PERIOD)
                                .concatMapCompletable(tick -> engineOrders
                                        .submit(authority, target, assignment(ROLES.get(own.nextInt(ROLES.size()))))
                                        .ignoreElement()
                                        .onErrorComplete())));
        keeper.whileHeld(
                ZONE,
                authority -> Completable.fromAction(() -> targetOrders.adopt(ZONE))
                        .andThen(timers.every(WORK_PERIOD).concatMapCompletable(tick -> {
                            String id = process.incarnation + "-" + submittedTargetOrders.size();
                            submittedTargetOrders.add(id);
                            return targetOrders
                                    .submit(
                                            authority,
                                            TargetOrder.order(id, "zone-a", "small", TargetCharge.REGULAR, 1))
                                    .onErrorComplete();
                        })));
        keeper.start();
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

    /** At most one process may believe that it holds a unit. A paused process would read its clock when it resumes. */
    private void checkHolders(LeaseUnit unit) {
        long holders = List.of(instances).stream()
                .filter(instance -> instance.process().isAlive())
                .filter(instance -> instance.keeper().held(unit).isPresent())
                .count();
        require(holders <= 1, () -> holders + " processes believe that they hold " + unit.key());
    }

    /** An order may take effect only while it is the pending one. */
    private EngineOrderAnswer arrive(EngineOrder order) {
        long effectsBefore = effects();
        EngineOrderAnswer answer = engine.receive(order, network.now());
        if (effects() > effectsBefore) {
            Optional<EngineOrderIntent> intent = engineIntent();
            require(
                    intent.filter(row -> row.orderId().equals(order.id())
                                    && row.status() == EngineOrderIntent.Status.PENDING)
                            .isPresent(),
                    () -> "stale order took effect: " + order + " with intent " + intent);
            require(
                    engine.received().stream().noneMatch(seen -> seen.effect() == EngineOrderBook.Effect.CONFLICT),
                    () -> "conflicting order took effect: " + order);
        }
        return answer;
    }

    private TargetOrderOutcome arrive(TargetOrder order) {
        int before = platform.executedOrders().size();
        TargetOrderOutcome outcome = platform.execute(order);
        if (platform.executedOrders().size() > before) {
            Optional<TargetOrderIntent> intent = decode("target-order", "zone-a", TargetOrderIntent.class);
            require(
                    intent.filter(row -> row.order().id().equals(order.id()) && row.awaitsOutcome())
                            .isPresent(),
                    () -> "order executed that is not pending: " + order + " with intent " + intent);
            require(
                    new HashSet<>(platform.executedOrders()).size()
                            == platform.executedOrders().size(),
                    () -> "bought twice: " + order);
            require(submittedTargetOrders.contains(order.id()), () -> "order that nobody submitted: " + order);
        }
        return outcome;
    }

    private long effects() {
        return engine.received().stream()
                .filter(Predicate.not(seen -> seen.effect() == EngineOrderBook.Effect.REFUSED
                        || seen.effect() == EngineOrderBook.Effect.NONE))
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

    /** Keeps the first violation, because RxJava turns an error thrown inside a stream into a signal. */
    private void require(boolean condition, Supplier<String> message) {
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

    private record Instance(SimulatedProcess process, LeaseKeeper keeper) {}

    /** The table service as one process reaches it. */
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
            return Single.defer(() -> storeOut
                    ? Single.<T>never()
                            .timeout(CALL_DEADLINE.toNanos(), java.util.concurrent.TimeUnit.NANOSECONDS, process)
                    : network.call(process, CALL_DEADLINE, UNBOUNDED, operation));
        }
    }

    /** Engine and platform as one process reaches them. */
    private final class RemoteReceivers implements EngineOrderClient, TargetPlatform {
        private final SimulatedProcess process;
        private final LeaseKeeper keeper;

        RemoteReceivers(SimulatedProcess process, LeaseKeeper keeper) {
            this.process = process;
            this.keeper = keeper;
        }

        @Override
        public Single<EngineOrderAnswer> send(Target engineTarget, EngineOrder order) {
            require(keeper.held(POOL).isPresent(), () -> "engine order sent without the lease: " + order);
            Duration bound = engineTarget.orderChecking() == OrderChecking.CHECKS_FENCING_TOKEN
                    ? UNBOUNDED
                    : ORDERS.deliveryBound().multipliedBy(8).dividedBy(10);
            return network.order(process, CALL_DEADLINE, bound, () -> arrive(order));
        }

        @Override
        public Single<EngineState> state(Target engineTarget) {
            return network.call(process, CALL_DEADLINE, UNBOUNDED, () -> engine.state(network.now()));
        }

        @Override
        public Single<TargetOrderOutcome> execute(TargetOrder order) {
            require(keeper.held(ZONE).isPresent(), () -> "target order sent without the lease: " + order);
            return network.order(process, CALL_DEADLINE, UNBOUNDED, () -> arrive(order));
        }

        @Override
        public Single<Optional<TargetOrderOutcome>> find(String orderId) {
            return network.call(process, CALL_DEADLINE, UNBOUNDED, () -> platform.find(orderId));
        }

        @Override
        public Single<List<PlatformTarget>> targets(String availabilityZone) {
            return network.call(process, CALL_DEADLINE, UNBOUNDED, () -> platform.targets(availabilityZone));
        }

        @Override
        public Single<List<PlatformInstance>> instances() {
            return network.call(process, CALL_DEADLINE, UNBOUNDED, () -> platform.instances(network.now()));
        }
    }
}
