package io.fireflywalk.benchmark.usage;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.claim.StoredResponse;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.usage.UsageAmount;
import io.fireflywalk.daemon.claim.ClaimCommitter;
import io.fireflywalk.daemon.claim.ClaimDecision;
import io.fireflywalk.daemon.claim.ClaimLimits;
import io.fireflywalk.daemon.claim.ClaimRouter;
import io.fireflywalk.daemon.claim.ClaimSender;
import io.fireflywalk.daemon.claim.ClaimService;
import io.fireflywalk.daemon.usage.UsageCopyHolder;
import io.fireflywalk.daemon.usage.UsageCopySender;
import io.fireflywalk.daemon.usage.UsageLimits;
import io.fireflywalk.daemon.usage.UsageRecorder;
import io.fireflywalk.daemon.usage.UsageWriter;
import io.fireflywalk.services.object.InMemoryObjectStore;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Fleet of production usage and claim components in virtual time, with a table service that counts writes. */
final class FleetSimulation {
    private static final long SEED = 20_261_204;
    private static final int CLIENT_ACCOUNTS = 4400;
    private static final int SHARDS = 16;
    private static final int CLAIM_BATCH_MILLISECONDS = 100;
    private static final int STORE_DELAY_MILLISECONDS = 2;
    private static final int PEER_DELAY_MILLISECONDS = 1;
    private static final int WARM_UP_SECONDS = 10;
    private static final long MAXIMUM_MICROSECONDS = 60_000_000;

    private final TestScheduler scheduler = new TestScheduler();
    private final SchedulerTimerService timers = new SchedulerTimerService(scheduler);
    private final CountingTableService usageTables = new CountingTableService(scheduler, STORE_DELAY_MILLISECONDS);
    private final CountingTableService claimTables = new CountingTableService(scheduler, STORE_DELAY_MILLISECONDS);
    private final Random random = new Random(SEED);
    private final Histogram hold = new Histogram(MAXIMUM_MICROSECONDS, 3);
    private final Histogram claimTime = new Histogram(MAXIMUM_MICROSECONDS, 3);
    private final List<Member> members = new ArrayList<>();
    private final List<Instance> fleet = new ArrayList<>();
    private final Map<String, Instance> instancesByIncarnation = new HashMap<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private final double requestsPerSecond;
    private final double claimedFraction;
    private long requests;

    FleetSimulation(int instances, double requestsPerSecond, double claimedFraction) {
        this.requestsPerSecond = requestsPerSecond;
        this.claimedFraction = claimedFraction;
        scheduler.advanceTimeBy(1, TimeUnit.DAYS);
        for (int i = 0; i < instances; i++) {
            members.add(new Member("i" + i, "i" + i, "region-" + i / 48, "zone-" + i % 26, "127.0.0.1", 1));
        }
        for (Member member : members) {
            Instance instance = new Instance(member);
            fleet.add(instance);
            instancesByIncarnation.put(member.incarnation(), instance);
        }
    }

    /** Returns the results of the simulated seconds after the warm-up. */
    Figures run(int seconds) {
        fleet.forEach(Instance::scheduleNextRequest);
        scheduler.advanceTimeBy(WARM_UP_SECONDS, TimeUnit.SECONDS);
        usageTables.reset();
        claimTables.reset();
        hold.reset();
        claimTime.reset();
        requests = 0;
        long messages = metrics.counter("usage_copy_messages").getCount();
        scheduler.advanceTimeBy(seconds, TimeUnit.SECONDS);
        double perSecond = 1.0 / seconds;
        return new Figures(
                fleet.size(),
                requests * perSecond,
                usageTables.transactions() * perSecond,
                usageTables.rows() * perSecond,
                usageTables.bytes() * perSecond / 1024,
                (metrics.counter("usage_copy_messages").getCount() - messages) * perSecond / fleet.size(),
                hold.getValueAtPercentile(50) / 1000.0,
                hold.getValueAtPercentile(99) / 1000.0,
                metrics.counter("usage_exposed_answers").getCount(),
                claimTime.getTotalCount() * perSecond,
                claimTables.transactions() * perSecond,
                claimTables.rows() * perSecond,
                claimTime.getValueAtPercentile(50) / 1000.0,
                claimTime.getValueAtPercentile(99) / 1000.0);
    }

    private void recordDuration(Completable completion, Histogram histogram) {
        long startedAt = timers.monotonicNanoseconds();
        Disposable unused = completion.subscribe(() -> histogram.recordValue(
                Math.min(MAXIMUM_MICROSECONDS, (timers.monotonicNanoseconds() - startedAt) / 1000)));
    }

    private <T> Single<T> afterPeerDelay(Single<T> call) {
        return Single.timer(PEER_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS, scheduler)
                .flatMap(tick -> call);
    }

    /** Results of one fleet size. Rates are per second, and of the whole fleet unless named per instance. */
    record Figures(
            int instances,
            double requestsPerSecond,
            double usageTransactionsPerSecond,
            double usageRowsPerSecond,
            double usageKibibytesPerSecond,
            double copyMessagesPerSecondPerInstance,
            double holdP50Milliseconds,
            double holdP99Milliseconds,
            long exposedResponses,
            double claimsPerSecond,
            double claimTransactionsPerSecond,
            double claimRowsPerSecond,
            double claimP50Milliseconds,
            double claimP99Milliseconds) {

        String text() {
            return String.format(
                    Locale.ROOT,
                    "instances=%d requests/s=%.0f usage: transactions/s=%.1f rows/s=%.1f KiB/s=%.0f"
                            + " copy_messages/s/instance=%.1f hold_ms p50=%.2f p99=%.2f exposed=%d"
                            + " | claims/s=%.1f transactions/s=%.1f rows/s=%.1f claim_ms p50=%.1f p99=%.1f",
                    instances,
                    requestsPerSecond,
                    usageTransactionsPerSecond,
                    usageRowsPerSecond,
                    usageKibibytesPerSecond,
                    copyMessagesPerSecondPerInstance,
                    holdP50Milliseconds,
                    holdP99Milliseconds,
                    exposedResponses,
                    claimsPerSecond,
                    claimTransactionsPerSecond,
                    claimRowsPerSecond,
                    claimP50Milliseconds,
                    claimP99Milliseconds);
        }
    }

    private final class Instance {
        private final UsageRecorder recorder;
        private final UsageCopyHolder holder;
        private final ClaimRouter router;
        private final ClaimService claimService;

        Instance(Member localMember) {
            UsageLimits limits = new UsageLimits(
                    Duration.ofMinutes(1),
                    Duration.ofSeconds(1),
                    80,
                    Duration.ofMillis(5),
                    Duration.ofMillis(250),
                    20_000,
                    40_000);
            UsageWriter writer = new UsageWriter(
                    usageTables,
                    timers,
                    localMember.incarnation(),
                    limits.window().toMillis(),
                    metrics);
            UsageCopySender sender = (peer, message) -> afterPeerDelay(
                    instancesByIncarnation.get(peer.incarnation()).holder.accept(message));
            recorder = new UsageRecorder(writer, sender, () -> members, localMember, timers, limits, metrics);
            holder = new UsageCopyHolder(writer, () -> members, timers, limits, metrics);
            ClaimLimits claimLimits = new ClaimLimits(
                    SHARDS,
                    Duration.ofMillis(CLAIM_BATCH_MILLISECONDS),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(500),
                    24);
            ClaimCommitter committer =
                    new ClaimCommitter(claimTables, timers, SHARDS, claimLimits.batchInterval(), 24, metrics);
            ClaimSender claimSender = (peer, message) -> afterPeerDelay(
                    instancesByIncarnation.get(peer.incarnation()).router.accept(message));
            router = new ClaimRouter(committer, claimSender, () -> members, localMember, timers, SHARDS);
            claimService = new ClaimService(
                    router, new InMemoryObjectStore(), () -> members, localMember, timers, claimLimits, metrics);
            recorder.start();
            holder.start();
        }

        void scheduleNextRequest() {
            long delayNanoseconds =
                    Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1e9 / requestsPerSecond));
            scheduler.scheduleDirect(
                    () -> {
                        serve("account-" + random.nextInt(CLIENT_ACCOUNTS));
                        scheduleNextRequest();
                    },
                    delayNanoseconds,
                    TimeUnit.NANOSECONDS);
        }

        private void serve(String account) {
            String request = "r" + requests++;
            if (random.nextDouble() < claimedFraction) {
                recordDuration(
                        claimService
                                .claimBeforeFirstAttempt(account, request + random.nextLong(), request)
                                .doOnSuccess(decision -> storeResponse(decision))
                                .ignoreElement(),
                        claimTime);
            }
            recordDuration(
                    recorder.record(request, account, "draft", TargetCharge.REGULAR, new UsageAmount(1, 500, 100)),
                    hold);
        }

        private void storeResponse(ClaimDecision decision) {
            List<StoredResponse.Header> headers =
                    List.of(new StoredResponse.Header("content-type", "application/json"));
            Disposable unused = claimService
                    .storeOutcome(
                            decision.granted().orElseThrow(),
                            Optional.of(new ClaimDecision.Response(200, headers, Buffer.buffer("{\"accepted\":true}"))))
                    .subscribe();
        }
    }
}
