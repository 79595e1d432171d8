package io.fireflywalk.benchmark.authority;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.daemon.authority.AuthoritySettings;
import io.fireflywalk.daemon.authority.LeaseKeeper;
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
 * Measures the time from a kill of the holder of a pool, an availability zone and a window range until another instance
 * holds each, in real time with a table service over HTTP and the default settings. A kill means that no call of the
 * instance leaves any more; all instances share one process. Prints one YAML record per kind of unit.
 */
public final class TakeoverBenchmark {
    private static final int RUNS = 24;
    private static final int INSTANCES = 3;
    private static final long SEED = 20261204;
    private static final Duration SETTLE = Duration.ofSeconds(4);
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final List<LeaseUnit> UNITS =
            List.of(LeaseUnit.pool("draft"), LeaseUnit.zone("zone-a"), LeaseUnit.report("range-0"));

    private final Vertx vertx;
    private final Context context;
    private final TimerService timers;
    private final Random random = new Random(SEED);
    private final CountDownLatch finished = new CountDownLatch(RUNS * UNITS.size());
    private final CompositeDisposable kills = new CompositeDisposable();
    private final List<Gap> gaps = new ArrayList<>();

    private TakeoverBenchmark(Vertx vertx, Context context) {
        this.vertx = vertx;
        this.context = context;
        this.timers = new VertxTimerService(vertx, context);
    }

    /** Runs all kills at the same time, each in a fleet of its own. */
    public static void main(String[] arguments) throws InterruptedException {
        Vertx vertx = Vertx.vertx();
        TakeoverBenchmark benchmark = new TakeoverBenchmark(vertx, vertx.getOrCreateContext());
        benchmark.context.runOnContext(ignored -> {
            for (int run = 0; run < RUNS; run++) {
                benchmark.startFleet();
            }
        });
        boolean complete = benchmark.finished.await(LIMIT.toSeconds(), TimeUnit.SECONDS);
        UNITS.forEach(benchmark::print);
        if (!complete) {
            System.err.println("some units found no successor within " + LIMIT);
        }
        vertx.close();
    }

    private void startFleet() {
        new TableServiceServer(vertx, new InMemoryTableService())
                .listen("127.0.0.1", 0)
                .onSuccess(this::startInstances)
                .onFailure(cause -> System.err.println("table service did not start: " + cause));
    }

    private void startInstances(int port) {
        List<String> members = new ArrayList<>();
        for (int index = 0; index < INSTANCES; index++) {
            members.add("instance-" + index + "-" + port);
        }
        List<Instance> fleet = new ArrayList<>();
        for (String member : members) {
            KillableTables tables = new KillableTables(new HttpTableService(
                    vertx, "127.0.0.1", port, AuthoritySettings.defaults().storeDeadline()));
            LeaseKeeper keeper = new LeaseKeeper(
                    member,
                    AuthoritySettings.defaults(),
                    tables,
                    timers,
                    new Random(random.nextLong()),
                    new MetricRegistry(),
                    () -> UNITS,
                    () -> members);
            keeper.start();
            fleet.add(new Instance(keeper, tables));
        }
        Duration kill = SETTLE.plusMillis(random.nextInt(
                (int) AuthoritySettings.defaults().renewalPeriod().toMillis()));
        UNITS.forEach(unit -> observe(fleet, unit, kill));
    }

    /** Kills the holder of the unit; holders of other units of the fleet go on, unless they are the same. */
    private void observe(List<Instance> fleet, LeaseUnit unit, Duration kill) {
        kills.add(timers.after(kill)
                .andThen(Completable.fromAction(() -> fleet.stream()
                        .filter(instance -> instance.keeper().held(unit).isPresent())
                        .findFirst()
                        .ifPresent(holder -> {
                            holder.tables().kill();
                            awaitSuccessor(fleet, holder, unit);
                        })))
                .subscribe(() -> {}, cause -> System.err.println("run failed: " + cause)));
    }

    private void awaitSuccessor(List<Instance> fleet, Instance holder, LeaseUnit unit) {
        long killedAt = timers.monotonicNanoseconds();
        fleet.stream()
                .filter(instance -> !instance.equals(holder))
                .forEach(instance -> instance.keeper()
                        .whileHeld(
                                unit,
                                authority -> Completable.fromAction(() -> {
                                    gaps.add(new Gap(unit, timers.monotonicNanoseconds() - killedAt));
                                    finished.countDown();
                                })));
    }

    private void print(LeaseUnit unit) {
        List<Long> milliseconds = gaps.stream()
                .filter(gap -> gap.unit().equals(unit))
                .map(gap -> TimeUnit.NANOSECONDS.toMillis(gap.nanoseconds()))
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

    private record Gap(LeaseUnit unit, long nanoseconds) {}

    private record Instance(LeaseKeeper keeper, KillableTables tables) {}

    /** Table service of one instance, whose calls leave only until the instance is killed. */
    private static final class KillableTables implements TableService {
        private final TableService tables;
        private boolean killed;

        KillableTables(TableService tables) {
            this.tables = tables;
        }

        void kill() {
            killed = true;
        }

        @Override
        public Single<TransactionResult> execute(Transaction transaction) {
            return Single.defer(() -> killed ? Single.never() : tables.execute(transaction));
        }

        @Override
        public Single<Optional<Row>> read(String table, String key) {
            return Single.defer(() -> killed ? Single.never() : tables.read(table, key));
        }

        @Override
        public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
            return Single.defer(() -> killed ? Single.never() : tables.scan(table, prefix, after, limit));
        }
    }
}
