package io.fireflywalk.benchmark.authority;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.daemon.authority.AuthoritySettings;
import io.fireflywalk.daemon.authority.LeaseManager;
import io.fireflywalk.services.table.HttpTableService;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.table.Row;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.table.Transaction;
import io.fireflywalk.services.table.TransactionResult;
import io.fireflywalk.services.time.TimerService;
import io.fireflywalk.services.time.VertxTimerService;
import io.fireflywalk.standin.TableServiceServer;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Measures how long it takes another instance to acquire the lease of a pool, an availability zone and a window range
 * after its holder is killed, in real time with a table service over HTTP and default settings. All instances share one
 * process; a kill is simulated by dropping all further table service calls of the instance. Prints one YAML record per
 * kind of unit.
 */
public final class TakeoverBenchmark {
    private static final int RUNS = 24;
    private static final int INSTANCES = 3;
    private static final long SEED = 20261204;
    private static final Duration SETTLE_TIME = Duration.ofSeconds(4);
    private static final Duration TIME_LIMIT = Duration.ofSeconds(60);
    private static final List<LeaseUnit> UNITS =
            List.of(LeaseUnit.pool("draft"), LeaseUnit.zone("zone-a"), LeaseUnit.report("range-0"));

    private final Vertx vertx;
    private final Context context;
    private final TimerService timers;
    private final Random random = new Random(SEED);
    private final CountDownLatch pendingTakeovers = new CountDownLatch(RUNS * UNITS.size());
    private final CompositeDisposable scheduledKills = new CompositeDisposable();
    private final List<Takeover> takeovers = new ArrayList<>();

    private TakeoverBenchmark(Vertx vertx, Context context) {
        this.vertx = vertx;
        this.context = context;
        this.timers = new VertxTimerService(vertx, context);
    }

    /** Runs all fleets concurrently. */
    public static void main(String[] arguments) throws InterruptedException {
        Vertx vertx = Vertx.vertx();
        TakeoverBenchmark benchmark = new TakeoverBenchmark(vertx, vertx.getOrCreateContext());
        benchmark.context.runOnContext(ignored -> {
            for (int run = 0; run < RUNS; run++) {
                benchmark.startFleet();
            }
        });
        boolean complete = benchmark.pendingTakeovers.await(TIME_LIMIT.toSeconds(), TimeUnit.SECONDS);
        UNITS.forEach(benchmark::print);
        if (!complete) {
            System.err.println("some leases were not taken over within " + TIME_LIMIT);
        }
        vertx.close();
    }

    private void startFleet() {
        new TableServiceServer(vertx, new InMemoryTableService())
                .listen("127.0.0.1", 0)
                .onSuccess(this::startInstances)
                .onFailure(cause -> System.err.println("table service failed to start: " + cause));
    }

    private void startInstances(int port) {
        List<String> members = new ArrayList<>();
        for (int index = 0; index < INSTANCES; index++) {
            members.add("instance-" + index + "-" + port);
        }
        List<Instance> fleet = new ArrayList<>();
        for (String member : members) {
            KillableTableService tables = new KillableTableService(new HttpTableService(
                    vertx, "127.0.0.1", port, AuthoritySettings.defaults().storeDeadline()));
            LeaseManager leaseManager = new LeaseManager(
                    member,
                    AuthoritySettings.defaults(),
                    tables,
                    timers,
                    new Random(random.nextLong()),
                    new MetricRegistry(),
                    () -> UNITS,
                    () -> members);
            leaseManager.start();
            fleet.add(new Instance(leaseManager, tables));
        }
        Duration killDelay = SETTLE_TIME.plusMillis(random.nextInt(
                (int) AuthoritySettings.defaults().renewalPeriod().toMillis()));
        UNITS.forEach(unit -> scheduleKill(fleet, unit, killDelay));
    }

    /** Schedules the kill of the holder of the unit. An instance that also holds other units loses these as well. */
    private void scheduleKill(List<Instance> fleet, LeaseUnit unit, Duration killDelay) {
        scheduledKills.add(timers.after(killDelay)
                .andThen(Completable.fromAction(() -> fleet.stream()
                        .filter(instance ->
                                instance.leaseManager().findAuthority(unit).isPresent())
                        .findFirst()
                        .ifPresent(holder -> {
                            holder.tables().kill();
                            awaitTakeover(fleet, holder, unit);
                        })))
                .subscribe(() -> {}, cause -> System.err.println("kill failed: " + cause)));
    }

    private void awaitTakeover(List<Instance> fleet, Instance holder, LeaseUnit unit) {
        long killedAt = timers.monotonicNanoseconds();
        fleet.stream()
                .filter(instance -> !instance.equals(holder))
                .forEach(instance -> instance.leaseManager()
                        .whileHeld(
                                unit,
                                authority -> Completable.fromAction(() -> {
                                    takeovers.add(new Takeover(unit, timers.monotonicNanoseconds() - killedAt));
                                    pendingTakeovers.countDown();
                                })));
    }

    private void print(LeaseUnit unit) {
        List<Long> milliseconds = takeovers.stream()
                .filter(takeover -> takeover.unit().equals(unit))
                .map(takeover -> TimeUnit.NANOSECONDS.toMillis(takeover.nanoseconds()))
                .sorted()
                .toList();
        int count = milliseconds.size();
        if (count == 0) {
            return;
        }
        System.out.printf(
                "- {unit: %s, runs: %d, minimumMilliseconds: %d, medianMilliseconds: %d, p90Milliseconds: %d,"
                        + " maximumMilliseconds: %d, all: %s}%n",
                unit.key(),
                count,
                milliseconds.get(0),
                milliseconds.get(count / 2),
                milliseconds.get(count * 9 / 10),
                milliseconds.get(count - 1),
                milliseconds);
    }

    private record Takeover(LeaseUnit unit, long nanoseconds) {}

    private record Instance(LeaseManager leaseManager, KillableTableService tables) {}

    /** Table service of one instance; calls after the kill never complete. */
    private static final class KillableTableService implements TableService {
        private final TableService delegate;
        private boolean killed;

        KillableTableService(TableService delegate) {
            this.delegate = delegate;
        }

        void kill() {
            killed = true;
        }

        @Override
        public Single<TransactionResult> execute(Transaction transaction) {
            return Single.defer(() -> killed ? Single.never() : delegate.execute(transaction));
        }

        @Override
        public Single<Optional<Row>> read(String table, String key) {
            return Single.defer(() -> killed ? Single.never() : delegate.read(table, key));
        }

        @Override
        public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
            return Single.defer(() -> killed ? Single.never() : delegate.scan(table, prefix, after, limit));
        }
    }
}
