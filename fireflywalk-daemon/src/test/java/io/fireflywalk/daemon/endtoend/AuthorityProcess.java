package io.fireflywalk.daemon.endtoend;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.lease.LeaseTerms;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.core.order.EngineAssignment;
import io.fireflywalk.core.order.EngineRole;
import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.daemon.authority.Authority;
import io.fireflywalk.daemon.authority.AuthoritySettings;
import io.fireflywalk.daemon.authority.EngineOrderService;
import io.fireflywalk.daemon.authority.LeaseManager;
import io.fireflywalk.daemon.authority.OrderSettings;
import io.fireflywalk.daemon.authority.TargetOrderService;
import io.fireflywalk.services.order.HttpEngineOrderClient;
import io.fireflywalk.services.order.HttpTargetProvisioner;
import io.fireflywalk.services.table.HttpTableService;
import io.fireflywalk.services.time.TimerService;
import io.fireflywalk.services.time.VertxTimerService;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.UUID;

/** Process that competes for the leases of a pool and a zone, and sends orders continuously while it holds them. */
final class AuthorityProcess {
    static final Duration LEASE_DURATION = Duration.ofSeconds(3);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
    private static final LeaseUnit POOL = LeaseUnit.pool("draft");
    private static final LeaseUnit ZONE = LeaseUnit.zone("zone-a");
    private static final AuthoritySettings AUTHORITY_SETTINGS = new AuthoritySettings(
            new LeaseTerms(LEASE_DURATION, 0.01, CALL_TIMEOUT),
            Duration.ofMillis(800),
            Duration.ofMillis(500),
            Duration.ofMillis(100),
            CALL_TIMEOUT);
    private static final OrderSettings ORDER_SETTINGS = new OrderSettings(
            Duration.ofMillis(100), Duration.ofSeconds(2), Duration.ofSeconds(1), Duration.ofSeconds(100));
    private static final Duration ORDER_PERIOD = Duration.ofMillis(150);

    private AuthorityProcess() {}

    /** Arguments: own name, comma-separated names of all members, ports of table service, platform and two engines. */
    public static void main(String[] arguments) {
        Vertx vertx = Vertx.vertx();
        Context context = vertx.getOrCreateContext();
        context.runOnContext(ignored -> start(vertx, context, arguments));
    }

    private static void start(Vertx vertx, Context context, String[] arguments) {
        String name = arguments[0];
        List<String> members = List.of(arguments[1].split(","));
        TimerService timers = new VertxTimerService(vertx, context);
        HttpTableService tables = new HttpTableService(vertx, "127.0.0.1", parsePort(arguments[2]), CALL_TIMEOUT);
        HttpTargetProvisioner provisioner =
                new HttpTargetProvisioner(vertx, "127.0.0.1", parsePort(arguments[3]), CALL_TIMEOUT);
        List<Target> engines = List.of(
                engine("checks", parsePort(arguments[4]), OrderChecking.CHECKS_FENCING_TOKEN),
                engine("ignores", parsePort(arguments[5]), OrderChecking.IGNORES_FENCING_TOKEN));
        Random random = new Random();
        MetricRegistry metrics = new MetricRegistry();
        LeaseManager leaseManager = new LeaseManager(
                name, AUTHORITY_SETTINGS, tables, timers, random, metrics, () -> List.of(POOL, ZONE), () -> members);
        EngineOrderService engineOrders = new EngineOrderService(
                name,
                leaseManager,
                tables,
                new HttpEngineOrderClient(vertx, CALL_TIMEOUT),
                provisioner,
                timers,
                ORDER_SETTINGS,
                random,
                metrics);
        TargetOrderService targetOrders = new TargetOrderService(
                name, leaseManager, tables, provisioner, timers, ORDER_SETTINGS, random, metrics);
        leaseManager.whileHeld(
                POOL,
                authority -> printAcquisition(timers, authority)
                        .andThen(engineOrders.resumePending(POOL, () -> engines).onErrorComplete())
                        .andThen(timers.every(ORDER_PERIOD)
                                .concatMapCompletable(tick -> Completable.concat(engines.stream()
                                        .map(engine -> engineOrders
                                                .submit(authority, engine, randomAssignment(random))
                                                .ignoreElement()
                                                .onErrorComplete())
                                        .toList()))));
        leaseManager.whileHeld(
                ZONE,
                authority -> printAcquisition(timers, authority)
                        .andThen(Completable.fromAction(() -> targetOrders.resumePending(ZONE)))
                        .andThen(timers.every(ORDER_PERIOD)
                                .concatMapCompletable(tick -> targetOrders
                                        .submit(
                                                authority,
                                                TargetOrder.order(
                                                        UUID.randomUUID().toString(),
                                                        "zone-a",
                                                        "small",
                                                        TargetCharge.REGULAR,
                                                        1))
                                        .onErrorComplete())));
        leaseManager.start();
        engineOrders.start();
        targetOrders.start();
    }

    private static Completable printAcquisition(TimerService timers, Authority authority) {
        return Completable.fromAction(() -> System.out.println("acquired "
                + authority.unit().key() + " token=" + authority.token() + " at " + timers.wallClockMilliseconds()));
    }

    private static EngineAssignment randomAssignment(Random random) {
        EngineRole role = List.of(EngineRole.values()).get(random.nextInt(3));
        return new EngineAssignment(role, "draft", "1", List.of());
    }

    private static Target engine(String name, int port, OrderChecking checking) {
        return new Target(name, "draft", "127.0.0.1", port, "zone-a", "1", TargetCharge.REGULAR, checking, false);
    }

    private static int parsePort(String text) {
        return Integer.parseInt(text);
    }
}
