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
 * Admission control for model and plain requests, which a handler calls before it chooses a target. The work of all
 * services is charged to one ledger; each service has its own queues and pressure. A refusal fails the returned future
 * with {@code DEADLINE_UNREACHABLE}, {@code SHARE_EXHAUSTED} or {@code QUEUE_FULL}, all {@code NOT_RUN}, and a message
 * that states when to retry. A queued request whose caller disconnects stays queued until the queue's time limit.
 * Confined to one event loop.
 */
public final class AdmissionGate {
    private static final Duration RELEASE_PERIOD = Duration.ofMillis(20);
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
    private static final double MILLISECONDS_PER_SECOND = 1e3;
    /** Work charged for a plain request, in weighted tokens. */
    private static final double PLAIN_REQUEST_COST = 500;

    /** Age at which a digest is discarded, so that the queue of an unreachable peer does not delay requests here. */
    private static final long DIGEST_EXPIRY_NANOSECONDS = 5_000_000_000L;

    private final AdmissionSettings settings = AdmissionSettings.defaults();
    private final TimerService timers;
    private final Supplier<ConfigurationSnapshot> snapshots;
    private final BiFunction<ConfigurationSnapshot, String, FleetPressure> pressure;
    private final RandomGenerator random;
    private final Counter refusals;
    private final ShareLedger ledger = new ShareLedger(settings, new double[0]);
    private final Map<String, Integer> accountIndexes = new HashMap<>();
    private final Map<String, AdmissionController> controllers = new HashMap<>();
    private final Map<Long, Promise<Void>> queuedRequests = new HashMap<>();
    private final Map<String, PeerQueue> peerQueues = new HashMap<>();
    private List<String> accountNames = List.of();
    private long configurationVersion = -1;
    private long nextRequestId;
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
        metrics.register("admission_queued", (Gauge<Integer>) queuedRequests::size);
    }

    /** Starts the periodic release of queued requests. */
    public void start() {
        subscription = Optional.of(timers.every(RELEASE_PERIOD).subscribe(tick -> releaseQueued()));
    }

    /** Stops the periodic release and refuses all queued requests. */
    public void stop() {
        subscription.ifPresent(Disposable::dispose);
        queuedRequests
                .values()
                .forEach(promise -> promise.tryFail(
                        new FireflywalkException(ErrorKind.DRAINING, "the instance is shutting down", "admission")));
        queuedRequests.clear();
    }

    /** Completes when the model request may be sent, or fails if it is refused. */
    public Future<Void> admitModel(
            String account, String service, long promptTokens, long outputTokens, long deadlineMilliseconds) {
        double cost = promptTokens + settings.outputWeight() * outputTokens;
        return admit(account, service, cost, deadlineMilliseconds);
    }

    /** Completes when the plain request may be sent, or fails if it is refused. Public routes have no account. */
    public Future<Void> admitPlain(String account, String service, long deadlineMilliseconds) {
        return account.isEmpty()
                ? Future.succeededFuture()
                : admit(account, service, PLAIN_REQUEST_COST, deadlineMilliseconds);
    }

    /** Returns the work since the previous call. An entry gives the account's position in the configuration. */
    public UsageDigest takeDigest() {
        applyConfiguration(snapshots.get());
        int[] queuedCounts = new int[ledger.accounts()];
        for (AdmissionController controller : controllers.values()) {
            int[] byAccount = controller.queuedByAccount();
            for (int i = 0; i < byAccount.length; i++) {
                queuedCounts[i] += byAccount[i];
            }
        }
        UsageDigest localDigest = ledger.takeDigest(configurationVersion, queuedCounts);
        Map<Integer, Integer> positionsByIndex = new HashMap<>();
        for (int i = 0; i < accountNames.size(); i++) {
            positionsByIndex.put(accountIndexes.get(accountNames.get(i)), i);
        }
        return new UsageDigest(
                configurationVersion,
                localDigest.entries().stream()
                        .filter(entry -> positionsByIndex.containsKey(entry.account()))
                        .map(entry -> new UsageDigest.Entry(
                                positionsByIndex.get(entry.account()), entry.cost(), entry.queued()))
                        .toList());
    }

    /** Adds a peer's digest; one of another configuration version is ignored, because account positions may differ. */
    public void addPeerUsage(String peer, UsageDigest digest) {
        applyConfiguration(snapshots.get());
        if (digest.configurationVersion() != configurationVersion) {
            return;
        }
        long now = timers.monotonicNanoseconds();
        int queuedByPeers = 0;
        List<UsageDigest.Entry> entries = new ArrayList<>();
        for (UsageDigest.Entry entry : digest.entries()) {
            if (entry.account() >= 0 && entry.account() < accountNames.size()) {
                entries.add(new UsageDigest.Entry(
                        accountIndexes.get(accountNames.get(entry.account())), entry.cost(), entry.queued()));
                queuedByPeers += Math.max(0, entry.queued());
            }
        }
        ledger.addPeerUsage(new UsageDigest(configurationVersion, entries), now);
        peerQueues.put(peer, new PeerQueue(queuedByPeers, now));
    }

    private Future<Void> admit(String account, String service, double cost, long deadlineMilliseconds) {
        ConfigurationSnapshot snapshot = snapshots.get();
        applyConfiguration(snapshot);
        Integer accountIndex = accountIndexes.get(account);
        if (accountIndex == null) {
            return Future.failedFuture(
                    new FireflywalkException(ErrorKind.UNKNOWN_KEY, "unknown client account", "admission"));
        }
        long now = timers.monotonicNanoseconds();
        long deadlineNanoseconds = now + deadlineMilliseconds * NANOSECONDS_PER_MILLISECOND;
        double toleranceSeconds =
                Math.max(settings.queueSeconds(), deadlineMilliseconds / MILLISECONDS_PER_SECOND / 10);
        AdmissionRequest request =
                new AdmissionRequest(nextRequestId++, accountIndex, cost, 0, deadlineNanoseconds, toleranceSeconds);
        AdmissionDecision decision = controllers
                .computeIfAbsent(service, name -> new AdmissionController(settings, ledger, random))
                .offer(request, pressure.apply(snapshot, service), now);
        Promise<Void> promise = Promise.promise();
        queuedRequests.put(request.id(), promise);
        applyDecision(decision);
        return promise.future();
    }

    private void releaseQueued() {
        long now = timers.monotonicNanoseconds();
        ConfigurationSnapshot snapshot = snapshots.get();
        applyConfiguration(snapshot);
        ledger.settle(now);
        peerQueues.values().removeIf(queue -> now - queue.receivedAt() > DIGEST_EXPIRY_NANOSECONDS);
        int queuedByPeers =
                peerQueues.values().stream().mapToInt(PeerQueue::requests).sum();
        long queueingPeers = peerQueues.values().stream()
                .filter(queue -> queue.requests() > 0)
                .count();
        controllers.forEach((service, controller) -> {
            controller.updatePeerQueues(queuedByPeers, (int) queueingPeers);
            if (controller.queuedRequests() > 0) {
                controller.admitQueued(pressure.apply(snapshot, service), now).forEach(this::applyDecision);
            }
        });
        controllers
                .entrySet()
                .removeIf(entry -> entry.getValue().queuedRequests() == 0
                        && snapshot.service(entry.getKey()).isEmpty());
    }

    private void applyDecision(AdmissionDecision decision) {
        if (decision.state() == AdmissionDecision.State.QUEUED) {
            return;
        }
        Promise<Void> promise = queuedRequests.remove(decision.id());
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

    /** Applies a newer configuration. Accounts keep their index until the process ends; removed ones get weight 0. */
    private void applyConfiguration(ConfigurationSnapshot snapshot) {
        if (snapshot.version() <= configurationVersion) {
            return;
        }
        configurationVersion = snapshot.version();
        accountNames =
                snapshot.clientAccounts().stream().map(ClientAccount::name).toList();
        accountNames.forEach(name -> accountIndexes.putIfAbsent(name, accountIndexes.size()));
        double[] weights = new double[accountIndexes.size()];
        snapshot.clientAccounts()
                .forEach(account -> weights[accountIndexes.get(account.name())] = account.shareWeight());
        ledger.setWeights(weights);
    }

    private record PeerQueue(int requests, long receivedAt) {}
}
