package io.fireflywalk.benchmark.usage;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.usage.UsageAmount;
import io.fireflywalk.daemon.peer.PeerServer;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.daemon.settings.SettingsLoader;
import io.fireflywalk.daemon.usage.UsageComponents;
import io.fireflywalk.daemon.usage.UsageMessages;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.time.VertxTimerService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Measures how long the end of a response is held for the copies of its usage record, with real peer messages over
 * loopback. The time counts from the intended time of recording.
 */
final class HoldMeasurement {
    private static final String HOST = "127.0.0.1";
    private static final long MAXIMUM_MICROSECONDS = 60_000_000;
    private static final int WARM_UP_SECONDS = 2;
    private static final int DRAIN_MILLISECONDS = 500;

    private final Vertx vertx = Vertx.vertx();
    private final List<Member> members = new CopyOnWriteArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final ConcurrentHistogram hold = new ConcurrentHistogram(MAXIMUM_MICROSECONDS, 3);

    private HoldMeasurement() {}

    static void run(int instances, int rate, int seconds, int repeats) throws Exception {
        HoldMeasurement measurement = new HoldMeasurement();
        for (int i = 0; i < instances; i++) {
            measurement.startInstance(i);
        }
        for (int repeat = 1; repeat <= repeats; repeat++) {
            // In every other run the first instance does not respond to peers, although the member list still contains
            // it.
            for (boolean unresponsivePeer : new boolean[] {false, true}) {
                measurement.measure(rate, seconds, repeat, unresponsivePeer);
            }
        }
    }

    private void startInstance(int number) throws Exception {
        Context context = vertx.getOrCreateContext();
        CompletableFuture<Void> started = new CompletableFuture<>();
        Instance instance = new Instance(context);
        context.runOnContext(ignored -> instance.listen(number, started));
        started.get(10, TimeUnit.SECONDS);
        instances.add(instance);
    }

    private void measure(int rate, int seconds, int repeat, boolean unresponsivePeer) throws InterruptedException {
        instances.get(0).unresponsive = unresponsivePeer;
        long exposedAtStart = countExposedResponses();
        generateLoad(rate, WARM_UP_SECONDS);
        TimeUnit.MILLISECONDS.sleep(DRAIN_MILLISECONDS);
        if (!unresponsivePeer) {
            exposedAtStart = countExposedResponses();
            hold.reset();
        }
        generateLoad(rate, seconds);
        TimeUnit.MILLISECONDS.sleep(DRAIN_MILLISECONDS);
        System.out.println(String.format(
                Locale.ROOT,
                "repeat=%d silent_peer=%s instances=%d answers=%d hold_ms p50=%.2f p95=%.2f p99=%.2f max=%.2f exposed=%d",
                repeat,
                unresponsivePeer,
                instances.size(),
                hold.getTotalCount(),
                hold.getValueAtPercentile(50) / 1000.0,
                hold.getValueAtPercentile(95) / 1000.0,
                hold.getValueAtPercentile(99) / 1000.0,
                hold.getMaxValue() / 1000.0,
                countExposedResponses() - exposedAtStart));
        hold.reset();
    }

    private void generateLoad(int rate, int seconds) throws InterruptedException {
        VertxTimerService clock = new VertxTimerService(vertx, instances.get(0).context);
        long start = clock.monotonicNanoseconds();
        long intervalNanoseconds = TimeUnit.SECONDS.toNanos(1) / rate;
        for (long i = 0; i < (long) rate * seconds; i++) {
            long intendedNanoseconds = start + i * intervalNanoseconds;
            long wait = intendedNanoseconds - clock.monotonicNanoseconds();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            // The first instance, which may be unresponsive, receives no requests itself.
            Instance instance = instances.get(1 + (int) (i % (instances.size() - 1)));
            long number = i;
            instance.context.runOnContext(ignored -> instance.recordUsage(intendedNanoseconds, number));
        }
    }

    private long countExposedResponses() {
        return instances.stream()
                .mapToLong(instance ->
                        instance.metrics.counter("usage_exposed_answers").getCount())
                .sum();
    }

    private final class Instance {
        private final Context context;
        private final MetricRegistry metrics = new MetricRegistry();
        private final VertxTimerService timers;
        private UsageComponents components;
        private volatile boolean unresponsive;

        Instance(Context context) {
            this.context = context;
            this.timers = new VertxTimerService(vertx, context);
        }

        void listen(int number, CompletableFuture<Void> listening) {
            try {
                DaemonSettings settings = SettingsLoader.defaults();
                Member self = new Member("i" + number, "i" + number, "region", "zone-" + number % 4, HOST, 0);
                PeerServer peerServer = new PeerServer(vertx);
                components = UsageComponents.create(
                        vertx,
                        settings,
                        new InMemoryTableService(),
                        timers,
                        self,
                        () -> members,
                        range -> OptionalLong.empty(),
                        peerServer,
                        metrics);
                // Overrides the handler that UsageComponents registered, so that the instance can stop responding.
                peerServer.addHandler(
                        UsageMessages.PATH,
                        UsageMessages.Copies.class,
                        message -> unresponsive
                                ? Single.never()
                                : components.holder().accept(message));
                components.start();
                peerServer
                        .listen(HOST, 0)
                        .onComplete(
                                port -> {
                                    members.add(new Member(
                                            self.incarnation(),
                                            self.instance(),
                                            "region",
                                            self.availabilityZone(),
                                            HOST,
                                            port));
                                    listening.complete(null);
                                },
                                listening::completeExceptionally);
            } catch (FireflywalkException exception) {
                listening.completeExceptionally(exception);
            }
        }

        void recordUsage(long intendedNanoseconds, long number) {
            Disposable unused = components
                    .recorder()
                    .record(
                            "r" + number + "-" + intendedNanoseconds,
                            "account-" + number % 8,
                            "draft",
                            TargetCharge.REGULAR,
                            new UsageAmount(1, 500, 100))
                    .subscribe(() -> hold.recordValue(Math.min(
                            MAXIMUM_MICROSECONDS,
                            Math.max(0, (timers.monotonicNanoseconds() - intendedNanoseconds) / 1000))));
        }
    }
}
