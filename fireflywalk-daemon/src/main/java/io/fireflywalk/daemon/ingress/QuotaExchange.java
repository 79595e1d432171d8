package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.RequestDescription;
import io.fireflywalk.core.ingress.RoutingConfiguration;
import io.fireflywalk.core.quota.AccountAllowance;
import io.fireflywalk.core.quota.AccountAllowance.Fleet;
import io.fireflywalk.core.quota.AccountAllowance.PoolAsk;
import io.fireflywalk.core.quota.AccountAllowance.Step;
import io.fireflywalk.core.quota.AccountQuota;
import io.fireflywalk.core.quota.ClockReading;
import io.fireflywalk.core.quota.QuotaAsk;
import io.fireflywalk.core.quota.QuotaGrant;
import io.fireflywalk.core.quota.QuotaLimits;
import io.fireflywalk.core.quota.QuotaTerms;
import io.fireflywalk.core.quota.SuspensionAwareClock;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.daemon.ingress.QuotaMessages.Head;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Charges requests to the quotas of their accounts, asks the granters for what this instance needs, and grants from the
 * pools whose lease this instance holds. Does nothing unless the deployment and an account have a quota. Confined to one
 * event loop.
 */
final class QuotaExchange {
    private static final Logger LOG = Logger.getLogger(QuotaExchange.class);
    private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(50);
    private static final Duration LEASE_INTERVAL = Duration.ofMillis(250);
    /** Interval at which requests that wait for a grant are decided if no answer has arrived. */
    private static final Duration STEP_INTERVAL = Duration.ofMillis(5);

    private static final Duration SUMMARY_INTERVAL = Duration.ofSeconds(10);
    /** Interval at which the largest number of instances is forgotten; longer than the window of quotas. */
    private static final Duration FLEET_SIZE_INTERVAL = Duration.ofSeconds(30);
    /** Time without a request after which the state of an account is dropped; nothing granted is valid any more. */
    private static final Duration IDLE_LIMIT = Duration.ofMinutes(1);

    private final String instance;
    private final String process;
    private final Optional<QuotaTerms> terms;
    private final ConfigurationHolder configuration;
    private final FleetCoordinator coordinator;
    private final PeerMessenger messenger;
    private final TimerService timers;
    private final RandomGenerator random;
    private final QuotaMetrics metrics;
    private final SuspensionAwareClock clock = new SuspensionAwareClock();
    private final QuotaLeases leases;
    private final QuotaGranter granter;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Set<String> waitingAccounts = new HashSet<>();
    private Optional<RoutingConfiguration> applied = Optional.empty();
    private Map<String, AccountQuota> quotas = Map.of();
    private Fleet fleet = new Fleet(1, false, Collections.nCopies(QuotaLimits.POOLS, false));
    private int largestFleet;
    private int largestFleetBefore;
    private long requests;
    private boolean stepScheduled;

    /** Allowance of an account, and its waiting requests. */
    private static final class Entry {
        private final AccountAllowance allowance;
        private final Map<Long, Decision> waiting = new HashMap<>();
        private long usedAt;

        private Entry(AccountAllowance allowance) {
            this.allowance = allowance;
        }
    }

    /** What runs once a waiting request has been decided. */
    private record Decision(long amount, Runnable onAdmitted, Consumer<Duration> onRefused) {}

    QuotaExchange(
            IngressSettings settings,
            ConfigurationHolder configuration,
            FleetCoordinator coordinator,
            FleetStore store,
            PeerMessenger messenger,
            TimerService timers,
            RandomGenerator random,
            IngressMetrics metrics) {
        this.instance = settings.instance().name();
        this.process = Long.toHexString(random.nextLong());
        this.terms = settings.bounds().quotaTerms();
        this.configuration = configuration;
        this.coordinator = coordinator;
        this.messenger = messenger;
        this.timers = timers;
        this.random = random;
        this.metrics = new QuotaMetrics(metrics);
        this.leases = new QuotaLeases(instance, process, coordinator, store, this::now);
        this.granter = new QuotaGranter(terms, leases);
        messenger.onMessage(QuotaMessages.ASK_TYPE, this::onAsk);
        messenger.onMessage(QuotaMessages.GRANT_TYPE, this::onGrant);
    }

    /**
     * Starts. Must not be called before the instance listens for messages of its peers: an earlier process of the
     * instance, whose leases this one takes over, has ended by then.
     */
    void start() {
        if (terms.isEmpty()) {
            return;
        }
        var unusedMaintenance = timers.repeat(MAINTENANCE_INTERVAL, "quotas", this::maintain);
        var unusedLeases = timers.repeat(LEASE_INTERVAL, "quota leases", this::maintainLeases);
        var unusedSize = timers.repeat(FLEET_SIZE_INTERVAL, "quota fleet size", () -> {
            largestFleetBefore = largestFleet;
            largestFleet = coordinator.instanceCount();
        });
        var unusedSummary = timers.repeat(SUMMARY_INTERVAL, "quota summary", () -> granter.logSummary(quotas.keySet()));
    }

    /** Stops granting, because the instance shuts down. */
    void resign() {
        if (isActive()) {
            leases.resign();
        }
    }

    private ClockReading now() {
        return clock.read(timers.monotonicNanoseconds(), timers.wallClockMilliseconds());
    }

    private boolean isActive() {
        return !quotas.isEmpty();
    }

    // Requests

    /** Returns the amount that a request of the account is charged; empty if the account has no quota. */
    Optional<Long> charge(Optional<String> account, RequestDescription description) {
        if (terms.isEmpty() || account.isEmpty()) {
            return Optional.empty();
        }
        applyConfiguration();
        return amount(account.get(), description);
    }

    private Optional<Long> amount(String account, RequestDescription description) {
        return Optional.ofNullable(quotas.get(account))
                .map(quota -> quota.charge(description.promptTokens(), description.maximumGeneratedTokens()));
    }

    /** Returns what would be decided on a request of the account, and changes nothing; empty if it has no quota. */
    Optional<AccountAllowance.Outlook> evaluate(String account, RequestDescription description) {
        Optional<Long> amount = terms.isEmpty() ? Optional.empty() : amount(account, description);
        return amount.map(charged -> Optional.ofNullable(entries.get(account))
                .map(entry -> entry.allowance)
                .orElseGet(() -> newAllowance(account))
                .evaluate(charged, fleet, now()));
    }

    /** Uses the amount if what this instance holds covers it. */
    boolean take(String account, long amount) {
        Entry entry = entry(account);
        if (!entry.allowance.take(amount, now())) {
            return false;
        }
        metrics.used(account, amount);
        return true;
    }

    /**
     * Asks for what an amount needs, and runs one of the handlers within a few milliseconds.
     *
     * @param onRefused gets the time after which the request may be sent again
     */
    void await(String account, long amount, Runnable onAdmitted, Consumer<Duration> onRefused) {
        Entry entry = entry(account);
        long request = requests++;
        entry.waiting.put(request, new Decision(amount, onAdmitted, onRefused));
        if (entry.allowance.await(request, amount, now())) {
            waitingAccounts.add(account);
        } else {
            refuse(account, entry, request, AccountAllowance.OVERLOAD_WAIT);
        }
        step(account);
        scheduleStep();
    }

    private Entry entry(String account) {
        Entry entry = entries.computeIfAbsent(account, name -> new Entry(newAllowance(name)));
        entry.usedAt = timers.monotonicNanoseconds();
        return entry;
    }

    private AccountAllowance newAllowance(String account) {
        return new AccountAllowance(
                account, (instance + account).hashCode(), terms.orElseThrow().limits(quotas.get(account)), random);
    }

    private void scheduleStep() {
        if (!stepScheduled && !waitingAccounts.isEmpty()) {
            stepScheduled = true;
            var unused = timers.after(STEP_INTERVAL).subscribe(() -> {
                stepScheduled = false;
                List.copyOf(waitingAccounts).forEach(this::step);
                scheduleStep();
            });
        }
    }

    private void step(String account) {
        Entry entry = entries.get(account);
        if (entry == null || !entry.allowance.hasWaiting()) {
            waitingAccounts.remove(account);
            return;
        }
        Step step = entry.allowance.step(fleet, now());
        if (!entry.allowance.hasWaiting()) {
            waitingAccounts.remove(account);
        }
        send(step.asks());
        for (long request : step.admitted()) {
            Decision decision = entry.waiting.remove(request);
            metrics.used(account, decision.amount());
            decision.onAdmitted().run();
        }
        step.refused().forEach(refusal -> refuse(account, entry, refusal.request(), refusal.retryAfter()));
    }

    private void refuse(String account, Entry entry, long request, Duration retryAfter) {
        Decision decision = entry.waiting.remove(request);
        metrics.refused(account, decision.amount());
        decision.onRefused().accept(retryAfter);
    }

    // Maintenance

    private void applyConfiguration() {
        Optional<RoutingConfiguration> current = configuration.current();
        if (current.equals(applied)) {
            return;
        }
        applied = current;
        Map<String, AccountQuota> changed =
                current.map(value -> value.quotas().byAccount()).orElse(Map.of());
        Set<String> names = new HashSet<>(quotas.keySet());
        names.addAll(changed.keySet());
        for (String account : names) {
            AccountQuota before = quotas.get(account);
            AccountQuota after = changed.get(account);
            if (after != null && !after.equals(before)) {
                LOG.infof(
                        "event=quota_changed account=%s unit=%s per_second=%s burst=%s",
                        account, after.unit(), after.amountPerSecond(), after.burst());
            } else if (after == null) {
                LOG.infof("event=quota_removed account=%s", account);
            }
        }
        quotas = changed;
        granter.configure(quotas, now());
        entries.forEach((account, entry) -> Optional.ofNullable(quotas.get(account))
                .ifPresent(
                        quota -> entry.allowance.configure(terms.orElseThrow().limits(quota))));
    }

    private void maintainLeases() {
        applyConfiguration();
        if (isActive()) {
            leases.maintain();
            granter.update(quotas, now());
        }
    }

    private void maintain() {
        applyConfiguration();
        if (!isActive()) {
            return;
        }
        updateFleet();
        long monotonic = timers.monotonicNanoseconds();
        entries.values().removeIf(entry -> entry.waiting.isEmpty() && monotonic - entry.usedAt > IDLE_LIMIT.toNanos());
        ClockReading now = now();
        List<PoolAsk> asks = new ArrayList<>();
        entries.values().forEach(entry -> asks.addAll(entry.allowance.maintain(fleet, now)));
        send(asks);
    }

    private void updateFleet() {
        largestFleet = Math.max(largestFleet, coordinator.instanceCount());
        List<Boolean> known = new ArrayList<>();
        for (int pool = 0; pool < QuotaLimits.POOLS; pool++) {
            known.add(leases.lease(pool).isHeld(now()) || leases.granter(pool).isPresent());
        }
        fleet = new Fleet(Math.max(largestFleet, largestFleetBefore), coordinator.isCountedByAll(), known);
    }

    // Messages

    private void send(Collection<PoolAsk> asks) {
        Map<Integer, List<PoolAsk>> byPool = new LinkedHashMap<>();
        asks.forEach(ask ->
                byPool.computeIfAbsent(ask.pool(), pool -> new ArrayList<>()).add(ask));
        byPool.forEach((pool, group) -> {
            Map<Long, List<QuotaAsk>> byEpoch = new LinkedHashMap<>();
            group.forEach(ask -> byEpoch.computeIfAbsent(ask.epoch(), epoch -> new ArrayList<>())
                    .add(ask.ask()));
            byEpoch.forEach((epoch, list) -> send(new Head(instance, process, pool, epoch), list));
        });
    }

    private void send(Head head, List<QuotaAsk> asks) {
        Optional<Peer> peer = leases.granter(head.pool());
        if (peer.isPresent()) {
            List<Peer> receiver = List.of(peer.get());
            QuotaMessages.encodeAsks(head, asks).forEach(message -> messenger.send(message, receiver));
        } else {
            granter.answer(head, asks, now())
                    .ifPresent(answer -> receiveGrants(head.pool(), answer.epoch(), answer.grants()));
        }
    }

    private void onAsk(JsonNode message) throws FireflywalkException {
        Head head = QuotaMessages.head(message);
        List<QuotaAsk> asks = QuotaMessages.decodeAsks(message);
        Optional<Peer> sender = coordinator.peers().stream()
                .filter(peer -> peer.name().equals(head.sender()))
                .findFirst();
        if (sender.isEmpty() || terms.isEmpty()) {
            return;
        }
        applyConfiguration();
        granter.answer(head, asks, now())
                .ifPresent(answer -> QuotaMessages.encodeGrants(
                                new Head(instance, head.process(), head.pool(), answer.epoch()), answer.grants())
                        .forEach(encoded -> messenger.send(encoded, List.of(sender.get()))));
    }

    private void onGrant(JsonNode message) throws FireflywalkException {
        Head head = QuotaMessages.head(message);
        if (head.process().equals(process)) {
            receiveGrants(head.pool(), head.epoch(), QuotaMessages.decodeGrants(message));
        }
    }

    private void receiveGrants(int pool, long epoch, List<QuotaGrant> grants) {
        for (QuotaGrant grant : grants) {
            Entry entry = entries.get(grant.account());
            if (entry != null) {
                long before = entry.allowance.figures().granted();
                entry.allowance.onGrant(pool, epoch, grant, now());
                long added = entry.allowance.figures().granted() - before;
                if (added > 0) {
                    metrics.granted(grant.account(), added);
                    LOG.debugf(
                            "event=quota_granted account=%s pool=%d epoch=%d amount=%d balance=%d",
                            grant.account(),
                            pool,
                            epoch,
                            added,
                            entry.allowance.figures().balance());
                }
                step(grant.account());
            }
        }
    }
}
