package io.fireflywalk.daemon.admission;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.admission.AdmissionController;
import io.fireflywalk.core.admission.AdmissionDecision;
import io.fireflywalk.core.admission.AdmissionRequest;
import io.fireflywalk.core.admission.AdmissionSettings;
import io.fireflywalk.core.admission.FleetPressure;
import io.fireflywalk.core.admission.ShareLedger;
import io.fireflywalk.core.admission.UsageDigest;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Admits model and plain requests, the one call that a handler makes before it chooses a target. Work of all services is
 * charged to one ledger; each service has its own queues and pressure. Refusals fail the returned future with
 * {@code DEADLINE_UNREACHABLE}, {@code SHARE_EXHAUSTED} or {@code QUEUE_FULL}, all {@code NOT_RUN}, with the retry hint
 * in the message. A caller that leaves while its request is queued keeps its place until the queue's time limit.
 * Confined to one event loop.
 */
public final class AdmissionGate {
    private static final Duration RELEASE_PERIOD = Duration.ofMillis(20);
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
    private static final double MILLISECONDS_PER_SECOND = 1e3;
    /** Work of a plain request in weighted tokens. */
    private static final double PLAIN_COST = 500;

    /** Digests older than this are forgotten, so that a partitioned peer's queue does not hold back this instance. */
    private static final long DIGEST_NANOSECONDS = 5_000_000_000L;

    private final AdmissionSettings settings = AdmissionSettings.defaults();
    private final TimerService timers;
    private final Supplier<ConfigurationSnapshot> snapshots;
    private final BiFunction<ConfigurationSnapshot, String, FleetPressure> pressure;
    private final RandomGenerator random;
    private final Counter refusals;
    private final ShareLedger ledger = new ShareLedger(settings, new double[0]);
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<String, AdmissionController> controllers = new HashMap<>();
    private final Map<Long, Promise<Void>> queued = new HashMap<>();
    private final Map<String, PeerQueue> peerQueues = new HashMap<>();
    private List<String> order = List.of();
    private long version = -1;
    private long nextId;
    private Optional<Disposable> subscription = Optional.empty();

    public AdmissionGate(
            TimerService timers,
            Supplier<ConfigurationSnapshot> snapshots,
            BiFunction<ConfigurationSnapshot, String, FleetPressure> pressure,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.timers = timers;
        this.snapshots = snapshots;
        this.pressure = pressure;
        this.random = random;
        this.refusals = metrics.counter("admission_refusals");
        metrics.register("admission_queued", (Gauge<Integer>) queued::size);
    }

    /** Starts to release queued requests. */
    public void start() {
        subscription = Optional.of(timers.every(RELEASE_PERIOD).subscribe(tick -> release()));
    }

    /** Stops to release; queued requests are refused. */
    public void stop() {
        subscription.ifPresent(Disposable::dispose);
        queued.values()
                .forEach(promise -> promise.tryFail(
                        new FireflywalkException(ErrorKind.DRAINING, "the instance is shutting down", "admission")));
        queued.clear();
    }

    /** Completes when a model request may be sent, or fails with the refusal. */
    public Future<Void> admitModel(
            String account, String service, long promptTokens, long outputTokens, long deadlineMilliseconds) {
        double cost = promptTokens + settings.outputWeight() * outputTokens;
        return admit(account, service, cost, deadlineMilliseconds);
    }

    /** Completes when a plain request may be sent, or fails with the refusal. Routes open to all have no account. */
    public Future<Void> admitPlain(String account, String service, long deadlineMilliseconds) {
        return account.isEmpty() ? Future.succeededFuture() : admit(account, service, PLAIN_COST, deadlineMilliseconds);
    }

    /** Returns the work since the last heartbeat. */
    public UsageDigest takeDigest() {
        update(snapshots.get());
        int[] counts = new int[ledger.accounts()];
        for (AdmissionController controller : controllers.values()) {
            int[] byAccount = controller.queuedByAccount();
            for (int i = 0; i < byAccount.length; i++) {
                counts[i] += byAccount[i];
            }
        }
        UsageDigest local = ledger.takeDigest(version, counts);
        Map<Integer, Integer> positions = new HashMap<>();
        for (int i = 0; i < order.size(); i++) {
            positions.put(numbers.get(order.get(i)), i);
        }
        return new UsageDigest(
                version,
                local.entries().stream()
                        .filter(entry -> positions.containsKey(entry.account()))
                        .map(entry ->
                                new UsageDigest.Entry(positions.get(entry.account()), entry.cost(), entry.queued()))
                        .toList());
    }

    /** Takes a peer's digest; one of another configuration version is dropped, because its numbers may differ. */
    public void peerUsed(String peer, UsageDigest digest) {
        update(snapshots.get());
        if (digest.configurationVersion() != version) {
            return;
        }
        long now = timers.monotonicNanoseconds();
        int requests = 0;
        List<UsageDigest.Entry> entries = new ArrayList<>();
        for (UsageDigest.Entry entry : digest.entries()) {
            if (entry.account() >= 0 && entry.account() < order.size()) {
                entries.add(
                        new UsageDigest.Entry(numbers.get(order.get(entry.account())), entry.cost(), entry.queued()));
                requests += Math.max(0, entry.queued());
            }
        }
        ledger.peerUsed(new UsageDigest(version, entries), now);
        peerQueues.put(peer, new PeerQueue(requests, now));
    }

    private Future<Void> admit(String account, String service, double cost, long deadlineMilliseconds) {
        ConfigurationSnapshot snapshot = snapshots.get();
        update(snapshot);
        Integer number = numbers.get(account);
        if (number == null) {
            return Future.failedFuture(
                    new FireflywalkException(ErrorKind.UNKNOWN_KEY, "unknown client account", "admission"));
        }
        long now = timers.monotonicNanoseconds();
        long deadline = now + deadlineMilliseconds * NANOSECONDS_PER_MILLISECOND;
        double tolerance = Math.max(settings.queueSeconds(), deadlineMilliseconds / MILLISECONDS_PER_SECOND / 10);
        AdmissionRequest request = new AdmissionRequest(nextId++, number, cost, 0, deadline, tolerance);
        AdmissionDecision decision = controllers
                .computeIfAbsent(service, name -> new AdmissionController(settings, ledger, random))
                .offer(request, pressure.apply(snapshot, service), now);
        Promise<Void> promise = Promise.promise();
        queued.put(request.id(), promise);
        apply(decision);
        return promise.future();
    }

    private void release() {
        long now = timers.monotonicNanoseconds();
        ConfigurationSnapshot snapshot = snapshots.get();
        update(snapshot);
        ledger.settle(now);
        peerQueues.values().removeIf(queue -> now - queue.at() > DIGEST_NANOSECONDS);
        int requests =
                peerQueues.values().stream().mapToInt(PeerQueue::requests).sum();
        long peers = peerQueues.values().stream()
                .filter(queue -> queue.requests() > 0)
                .count();
        controllers.forEach((service, controller) -> {
            controller.peersQueued(requests, (int) peers);
            if (controller.queued() > 0) {
                controller.release(pressure.apply(snapshot, service), now).forEach(this::apply);
            }
        });
        controllers
                .entrySet()
                .removeIf(entry -> entry.getValue().queued() == 0
                        && snapshot.service(entry.getKey()).isEmpty());
    }

    private void apply(AdmissionDecision decision) {
        if (decision.state() == AdmissionDecision.State.QUEUED) {
            return;
        }
        Promise<Void> promise = queued.remove(decision.id());
        if (decision.refusal().isEmpty()) {
            promise.complete();
            return;
        }
        refusals.inc();
        promise.fail(new FireflywalkException(
                decision.refusal().get(),
                "not admitted; retry after " + Math.ceil(decision.retryAfterSeconds()) + " s",
                "admission"));
    }

    /** Accounts keep their numbers for the life of the process; removed ones get the weight zero. */
    private void update(ConfigurationSnapshot snapshot) {
        if (snapshot.version() <= version) {
            return;
        }
        version = snapshot.version();
        order = snapshot.clientAccounts().stream().map(ClientAccount::name).toList();
        order.forEach(name -> numbers.putIfAbsent(name, numbers.size()));
        double[] weights = new double[numbers.size()];
        snapshot.clientAccounts().forEach(account -> weights[numbers.get(account.name())] = account.shareWeight());
        ledger.setWeights(weights);
    }

    private record PeerQueue(int requests, long at) {}
}
