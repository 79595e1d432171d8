package io.fireflywalk.daemon.usage;

import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.usage.UsageAmount;
import io.fireflywalk.core.usage.UsageReport;
import io.fireflywalk.daemon.fault.FaultyTableService;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Simulated instances with usage components in virtual time, with faults in the store, peer messages and reports. */
final class UsageFleet {
    static final Duration WINDOW = Duration.ofSeconds(10);
    static final long HOLD_MILLISECONDS = 250;
    private static final int CORRECTION_WINDOWS = 30;

    final TestScheduler scheduler = new TestScheduler();
    final FaultyTableService tables;
    final List<UsageReport> received = new ArrayList<>();
    final Map<String, Long> completed = new HashMap<>();
    final Map<String, Long> recorded = new HashMap<>();
    final Map<String, Long> unconfirmed = new HashMap<>();
    final List<Node> nodes = new ArrayList<>();
    final Random random;
    int lostMessagePercent;
    int lostReportResponsePercent;
    boolean reportServiceDown;
    private final UsageLimits limits;
    private long requestCount;
    private int startedNodes;

    UsageFleet(long seed, int size, int maximumRows) {
        this.random = new Random(seed);
        this.tables = new FaultyTableService(new InMemoryTableService(), scheduler, seed + 1);
        this.limits = new UsageLimits(
                WINDOW,
                Duration.ofSeconds(1),
                80,
                Duration.ofMillis(5),
                Duration.ofMillis(HOLD_MILLISECONDS),
                maximumRows,
                10_000);
        scheduler.advanceTimeBy(1_000_000, TimeUnit.SECONDS);
        for (int i = 0; i < size; i++) {
            startNode();
        }
    }

    Node startNode() {
        Node node = new Node(startedNodes++);
        nodes.add(node);
        return node;
    }

    void advance(long milliseconds) {
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    }

    List<Node> alive() {
        return nodes.stream().filter(node -> node.alive).toList();
    }

    /** Records a request of the account at the node, and counts the response when it may end. */
    void serve(Node node, String account) {
        String request = "request-" + requestCount++;
        recorded.merge(account, 1L, Long::sum);
        long startedAt = scheduler.now(TimeUnit.MILLISECONDS);
        Disposable unused = node.recorder
                .record(request, account, "draft", TargetCharge.REGULAR, new UsageAmount(1, 10, 3))
                .subscribe(() -> {
                    if (node.alive) {
                        completed.merge(account, 1L, Long::sum);
                        if (scheduler.now(TimeUnit.MILLISECONDS) - startedAt >= HOLD_MILLISECONDS) {
                            unconfirmed.merge(account, 1L, Long::sum);
                        }
                    }
                });
    }

    /** Returns the number of answers reported for the account in the first report of each window, with corrections. */
    long reported(String account) {
        Map<Long, UsageReport> firstByWindow = new HashMap<>();
        received.forEach(report -> firstByWindow.putIfAbsent(report.window(), report));
        long total = 0;
        for (UsageReport report : firstByWindow.values()) {
            for (var figures : List.of(report.figures(), report.corrections())) {
                total += figures.stream()
                        .filter(figure -> figure.clientAccount().equals(account))
                        .mapToLong(figure -> figure.amount().answers())
                        .sum();
            }
        }
        return total;
    }

    private List<Member> members() {
        return alive().stream().map(node -> node.self).toList();
    }

    private Single<UsageMessages.CopiesResponse> deliver(Node from, Member to, UsageMessages.Copies message) {
        Node receiver =
                nodes.stream().filter(node -> node.self.equals(to)).findFirst().orElseThrow();
        int percentile = random.nextInt(100);
        if (percentile < lostMessagePercent) {
            if (random.nextBoolean()) {
                // The message arrives late and twice, and the response is lost.
                for (int i = 0; i < 2; i++) {
                    scheduler.scheduleDirect(
                            () -> receiver.accept(message), random.nextInt(15_000), TimeUnit.MILLISECONDS);
                }
            }
            return timedOut();
        }
        return Single.timer(1, TimeUnit.MILLISECONDS, scheduler)
                .flatMap(tick -> receiver.accept(message))
                .flatMap(response -> from.isolated ? timedOut() : Single.just(response));
    }

    private Single<UsageMessages.CopiesResponse> timedOut() {
        return Single.timer(100, TimeUnit.MILLISECONDS, scheduler)
                .flatMap(tick -> Single.error(new IllegalStateException("no response")));
    }

    private Completable submitReport(UsageReport report) {
        int delay = random.nextInt(100) < lostReportResponsePercent ? random.nextInt(20_000) : 2;
        return Completable.timer(delay, TimeUnit.MILLISECONDS, scheduler).andThen(Completable.defer(() -> {
            if (reportServiceDown) {
                return Completable.error(new IllegalStateException("report service is down"));
            }
            received.add(report);
            return random.nextInt(100) < lostReportResponsePercent
                    ? Completable.error(new IllegalStateException("response lost"))
                    : Completable.complete();
        }));
    }

    /** One simulated instance. */
    final class Node {
        final Member self;
        final UsageRecorder recorder;
        final UsageCopyHolder holder;
        final UsageReporter reporter;
        final MetricRegistry metrics = new MetricRegistry();
        boolean alive = true;
        boolean isolated;
        boolean holdsReportLease;

        Node(int number) {
            self = new Member("i" + number, "i" + number, "region", "zone-" + number % 3, "127.0.0.1", 1);
            SchedulerTimerService timers = new SchedulerTimerService(scheduler);
            UsageWriter writer = new UsageWriter(tables, timers, self.incarnation(), WINDOW.toMillis(), metrics);
            recorder = new UsageRecorder(
                    writer,
                    (peer, message) -> deliver(this, peer, message),
                    UsageFleet.this::members,
                    self,
                    timers,
                    limits,
                    metrics);
            holder = new UsageCopyHolder(writer, UsageFleet.this::members, timers, limits, metrics);
            ReportLimits reportLimits = new ReportLimits(
                    WINDOW,
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(20),
                    Duration.ofSeconds(1),
                    6,
                    CORRECTION_WINDOWS);
            reporter = new UsageReporter(
                    tables,
                    (report, token) -> submitReport(report),
                    range -> holdsReportLease && alive ? OptionalLong.of(1) : OptionalLong.empty(),
                    timers,
                    reportLimits,
                    metrics);
            recorder.start();
            holder.start();
            reporter.start();
        }

        Single<UsageMessages.CopiesResponse> accept(UsageMessages.Copies message) {
            return alive && !isolated ? holder.accept(message) : timedOut();
        }

        /** Kills the process: its in-memory state is lost and nothing it holds takes effect any more. */
        void kill() {
            alive = false;
            recorder.stop();
            holder.stop();
            reporter.stop();
        }
    }
}
