package io.fireflywalk.benchmark.configuration;

import io.fireflywalk.core.configuration.ApiKey;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.configuration.MemberDocument;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.daemon.configuration.Coordination;
import io.fireflywalk.daemon.operators.ConfigurationChangeService;
import io.fireflywalk.daemon.peer.SimulatedPeerNetwork;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.services.configuration.ChangeRecord;
import io.fireflywalk.services.configuration.ConfigurationRepository;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.fireflywalk.services.instance.InstanceList;
import io.fireflywalk.services.table.InMemoryTableService;
import io.fireflywalk.services.table.ResolvingTableService;
import io.fireflywalk.services.table.TableMetrics;
import io.fireflywalk.services.table.TableRetryPolicy;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Fleet in virtual time. Members are written to the log before the start, so that joining is not measured. */
final class FleetMeasurement {
    private static final int ZONES = 26;
    private static final long POLL_STEP_MILLISECONDS = 5;
    private static final long WARM_UP_MILLISECONDS = 20_000;
    private static final long CHANGE_INTERVAL_MILLISECONDS = 2_000;
    private static final long CHANGE_TIMEOUT_MILLISECONDS = 30_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final TestScheduler scheduler = new TestScheduler();
    private final SchedulerTimerService timers = new SchedulerTimerService(scheduler);
    private final Random random;
    private final SimulatedPeerNetwork network;
    private final InMemoryTableService store = new InMemoryTableService();
    private final TableMetrics metrics = new TableMetrics(timers);
    private final List<Instance> instances = new ArrayList<>();
    private final double lossFraction;
    private long notServingChecks;
    private int publishedSecond;

    FleetMeasurement(long seed, int size, double lossFraction) {
        this.random = new Random(seed);
        this.network = new SimulatedPeerNetwork(timers, random, Duration.ofMillis(1));
        this.lossFraction = lossFraction;
        for (int index = 0; index < size; index++) {
            instances.add(new Instance(index));
        }
        writeInitialConfiguration();
    }

    /** After a warm-up, sends one revocation every two seconds, each to a randomly chosen instance. */
    Result run(int changes) {
        instances.forEach(instance -> instance.coordination.start(1));
        network.setLossFraction(lossFraction);
        advance(WARM_UP_MILLISECONDS);
        Histogram propagation = new Histogram(SIGNIFICANT_DIGITS);
        Histogram acknowledgement = new Histogram(SIGNIFICANT_DIGITS);
        long[] bytesBefore =
                instances.stream().mapToLong(each -> each.endpoint.bytes()).toArray();
        long messagesBefore =
                instances.stream().mapToLong(each -> each.endpoint.messages()).sum();
        long reads = metrics.readCount();
        long writes = metrics.writeCount();
        long startedAt = timers.monotonicNanoseconds();
        long cpuStart = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int number = 0; number < changes; number++) {
            revoke(number, propagation, acknowledgement);
        }
        double cpuTime = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuStart;
        double elapsed = timers.monotonicNanoseconds() - startedAt;
        double seconds = elapsed / TimeUnit.SECONDS.toNanos(1);
        double largest = 0;
        double total = 0;
        for (int index = 0; index < instances.size(); index++) {
            double bytes = instances.get(index).endpoint.bytes() - bytesBefore[index];
            largest = Math.max(largest, bytes);
            total += bytes;
        }
        long messages =
                instances.stream().mapToLong(each -> each.endpoint.messages()).sum() - messagesBefore;
        instances.forEach(instance -> instance.coordination.stop());
        return new Result(
                propagation,
                acknowledgement,
                total / seconds / instances.size(),
                largest / seconds,
                messages / seconds / instances.size(),
                100 * cpuTime / elapsed / instances.size(),
                (metrics.readCount() - reads) / seconds,
                (metrics.writeCount() - writes) / seconds,
                notServingChecks);
    }

    private void revoke(int number, Histogram propagation, Histogram acknowledgement) {
        Instance receiver = instances.get(random.nextInt(instances.size()));
        long base = receiver.coordination.snapshot().version();
        String name = "key-" + number;
        var change = new OperatorMessages.ChangeRequest(
                base,
                "benchmark",
                "revocation",
                DocumentCodec.toMessages(
                        List.of(DocumentChange.put(new ApiKey(name, "county", SecretDigest.of("secret"), true)))));
        long[] acknowledgedAt = {-1};
        long startedAt = timers.monotonicNanoseconds();
        Disposable unused = receiver.changeService
                .change(change)
                .subscribe(version -> acknowledgedAt[0] = timers.monotonicNanoseconds(), cause -> {});
        long propagatedAt = -1;
        long end = startedAt + TimeUnit.MILLISECONDS.toNanos(CHANGE_TIMEOUT_MILLISECONDS);
        long intervalEnd = startedAt + TimeUnit.MILLISECONDS.toNanos(CHANGE_INTERVAL_MILLISECONDS);
        while (timers.monotonicNanoseconds() < intervalEnd
                || ((propagatedAt < 0 || acknowledgedAt[0] < 0) && timers.monotonicNanoseconds() < end)) {
            advance(POLL_STEP_MILLISECONDS);
            if (propagatedAt < 0
                    && instances.stream()
                            .allMatch(each ->
                                    each.coordination.snapshot().apiKey(name).isPresent())) {
                propagatedAt = timers.monotonicNanoseconds();
            }
        }
        notServingChecks += instances.stream()
                .filter(each -> !each.coordination.mayServeAuthenticatedRoutes())
                .count();
        propagation.recordValue(milliseconds(propagatedAt < 0 ? end - startedAt : propagatedAt - startedAt));
        acknowledgement.recordValue(
                milliseconds(acknowledgedAt[0] < 0 ? end - startedAt : acknowledgedAt[0] - startedAt));
    }

    private void advance(long milliseconds) {
        long step = 1_000;
        for (long done = 0; done < milliseconds; done += step) {
            // Each instance publishes a new load digest every second.
            if (scheduler.now(TimeUnit.SECONDS) > publishedSecond) {
                publishedSecond = (int) scheduler.now(TimeUnit.SECONDS);
                instances.forEach(each -> each.coordination
                        .gossip()
                        .publish(
                                "load",
                                "{\"running\":" + random.nextInt(100) + ",\"waiting\":" + publishedSecond + "}"));
            }
            scheduler.advanceTimeBy(Math.min(step, milliseconds - done), TimeUnit.MILLISECONDS);
        }
    }

    private void writeInitialConfiguration() {
        ConfigurationRepository repository = new ConfigurationRepository(store);
        long version = 0;
        for (Instance instance : instances) {
            version = commit(repository, version, DocumentChange.put(new MemberDocument(instance.member)));
        }
        commit(repository, version, DocumentChange.put(new ClientAccount("county", 1, 10)));
    }

    private static long commit(ConfigurationRepository repository, long base, DocumentChange change) {
        List<DocumentChange> changes = List.of(change);
        ChangeRecord entry = new ChangeRecord(base + 1, "benchmark", "set-up", 0, DocumentCodec.toMessages(changes));
        boolean committed =
                repository.commit("set-up-" + base, base, changes, entry).blockingGet();
        if (!committed) {
            throw new IllegalStateException(
                    "version conflict while writing the initial configuration at version " + base);
        }
        return base + 1;
    }

    private static long milliseconds(long nanoseconds) {
        return Math.round(nanoseconds / NANOSECONDS_PER_MILLISECOND);
    }

    /**
     * Results of one fleet. Times are virtual; CPU time is that of the whole simulation, divided by the number of
     * instances.
     */
    record Result(
            Histogram propagation,
            Histogram acknowledgement,
            double meanBytesPerSecond,
            double largestBytesPerSecond,
            double meanMessagesPerSecond,
            double processorPercent,
            double storeReadsPerSecond,
            double storeWritesPerSecond,
            long notServingChecks) {}

    private final class Instance {
        private final Member member;
        private final SimulatedPeerNetwork.Endpoint endpoint;
        private final Coordination coordination;
        private final ConfigurationChangeService changeService;

        private Instance(int index) {
            String name = "instance-" + index;
            // Has the format and length of a real incarnation (name and UUID), so that message sizes are realistic.
            String incarnation = name + "-" + new java.util.UUID(random.nextLong(), random.nextLong());
            member = new Member(incarnation, name, "region-1", "zone-" + index % ZONES, "127.0.0.1", 1);
            endpoint = network.endpoint(incarnation);
            coordination = new Coordination(
                    member,
                    new ResolvingTableService(
                            store,
                            timers,
                            TableRetryPolicy.forCallDeadline(Duration.ofSeconds(2)),
                            random::nextDouble,
                            metrics),
                    InstanceList.empty(),
                    endpoint,
                    timers,
                    random,
                    Duration.ofMillis(500),
                    Duration.ofSeconds(5));
            coordination.register(endpoint);
            changeService = new ConfigurationChangeService(coordination, timers);
        }
    }
}
