package io.fireflywalk.daemon.admission;

import io.fireflywalk.core.admission.UsageDigest;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.membership.GossipItem;
import io.fireflywalk.core.routing.SentLoad;
import io.fireflywalk.daemon.peer.GossipExchange;
import io.fireflywalk.daemon.routing.RunnerRouter;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/**
 * Publishes to the peers the work that this instance admitted per client account and sent per runner, and feeds what
 * the peers publish to admission and routing. A digest lists at most {@value #MAXIMUM_ENTRIES} accounts or runners,
 * those with the most recent work. Confined to one event loop.
 */
public final class LoadExchange {
    private static final Logger LOG = Logger.getLogger(LoadExchange.class);
    private static final Duration PUBLISH_PERIOD = Duration.ofSeconds(1);
    private static final String SHARES_TOPIC = "shares";
    private static final String SENT_TOPIC = "sent";
    /** 12 names of about 30 bytes fit into the byte budget of one digest message. */
    private static final int MAXIMUM_ENTRIES = 12;

    private final TimerService timers;
    private final Supplier<ConfigurationSnapshot> snapshots;
    private final Supplier<Set<String>> livePeers;
    private final AdmissionGate gate;
    private final RunnerRouter router;
    private final GossipExchange gossip;
    private final Map<String, Long> admittedByAccount = new LinkedHashMap<>();
    private final Map<String, SentTotal> sentByRunner = new LinkedHashMap<>();
    private final CumulativeTotals admittedByPeers = new CumulativeTotals();
    private final CumulativeTotals sentByPeers = new CumulativeTotals();
    private long prefillTokens;
    private long outputTokens;
    private Optional<Disposable> subscription = Optional.empty();

    public LoadExchange(
            TimerService timers,
            Supplier<ConfigurationSnapshot> snapshots,
            Supplier<Set<String>> livePeers,
            AdmissionGate gate,
            RunnerRouter router,
            GossipExchange gossip) {
        this.timers = timers;
        this.snapshots = snapshots;
        this.livePeers = livePeers;
        this.gate = gate;
        this.router = router;
        this.gossip = gossip;
        gossip.addListener(this::receive);
    }

    /** Starts publishing. */
    public void start() {
        subscription = Optional.of(timers.every(PUBLISH_PERIOD).subscribe(tick -> publish()));
    }

    /** Stops publishing. */
    public void stop() {
        subscription.ifPresent(Disposable::dispose);
    }

    private void publish() {
        Set<String> live = livePeers.get();
        admittedByPeers.retain(live);
        sentByPeers.retain(live);
        gossip.publish(SHARES_TOPIC, Codec.json().write(buildSharesPayload()));
        gossip.publish(SENT_TOPIC, Codec.json().write(buildSentPayload()));
    }

    private SharesPayload buildSharesPayload() {
        List<String> names = accountNames(snapshots.get());
        admittedByAccount.keySet().retainAll(Set.copyOf(names));
        Map<String, Integer> queuedByAccount = new HashMap<>();
        for (UsageDigest.Entry entry : gate.takeDigest().entries()) {
            String name = names.get(entry.account());
            // Reinserted, so that the accounts with the most recent work come last in the map.
            long previous = Optional.ofNullable(admittedByAccount.remove(name)).orElse(0L);
            admittedByAccount.put(name, previous + entry.cost());
            queuedByAccount.put(name, entry.queued());
        }
        List<AccountTotal> entries = mostRecent(admittedByAccount).stream()
                .map(name -> new AccountTotal(name, admittedByAccount.get(name), queuedByAccount.getOrDefault(name, 0)))
                .toList();
        return new SharesPayload(entries);
    }

    private SentPayload buildSentPayload() {
        SentLoad sentLoad = router.drainSentLoad();
        prefillTokens += sentLoad.prefillTokens();
        outputTokens += sentLoad.outputTokens();
        sentByRunner.keySet().removeIf(name -> snapshots.get().target(name).isEmpty());
        for (SentLoad.TargetWork entry : sentLoad.sent()) {
            SentTotal previous =
                    Optional.ofNullable(sentByRunner.remove(entry.target())).orElse(new SentTotal(0, 0));
            sentByRunner.put(
                    entry.target(),
                    new SentTotal(
                            previous.prefillTokens() + entry.prefillTokens(), previous.requests() + entry.requests()));
        }
        List<RunnerTotal> entries = mostRecent(sentByRunner).stream()
                .map(name -> new RunnerTotal(
                        name,
                        sentByRunner.get(name).prefillTokens(),
                        sentByRunner.get(name).requests()))
                .toList();
        return new SentPayload(entries, prefillTokens, outputTokens);
    }

    private void receive(GossipItem item) {
        try {
            if (item.topic().equals(SHARES_TOPIC)) {
                receiveShares(item.incarnation(), Codec.json().read(item.payload(), SharesPayload.class, SHARES_TOPIC));
            } else if (item.topic().equals(SENT_TOPIC)) {
                receiveSent(item.incarnation(), Codec.json().read(item.payload(), SentPayload.class, SENT_TOPIC));
            }
        } catch (FireflywalkException exception) {
            LOG.warnf(
                    "event=digest_unreadable peer=%s topic=%s cause=\"%s\"",
                    item.incarnation(), item.topic(), exception.getMessage());
        }
    }

    private void receiveShares(String peer, SharesPayload payload) {
        ConfigurationSnapshot snapshot = snapshots.get();
        List<String> names = accountNames(snapshot);
        Map<String, Long> totals = new HashMap<>();
        List<UsageDigest.Entry> entries = new ArrayList<>();
        for (AccountTotal entry : payload.accounts()) {
            long growth = admittedByPeers.growth(peer, entry.name(), entry.cost());
            totals.put(entry.name(), entry.cost());
            int position = names.indexOf(entry.name());
            if (position >= 0) {
                entries.add(new UsageDigest.Entry(position, growth, entry.queued()));
            }
        }
        admittedByPeers.recordTotals(peer, totals);
        gate.addPeerUsage(peer, new UsageDigest(snapshot.version(), entries));
    }

    private void receiveSent(String peer, SentPayload payload) {
        Map<String, Long> totals = new HashMap<>();
        List<SentLoad.TargetWork> entries = new ArrayList<>();
        for (RunnerTotal entry : payload.runners()) {
            String requestsKey = entry.name() + "/requests";
            long prefillGrowth = sentByPeers.growth(peer, entry.name(), entry.prefillTokens());
            long requestGrowth = sentByPeers.growth(peer, requestsKey, entry.requests());
            totals.put(entry.name(), entry.prefillTokens());
            totals.put(requestsKey, (long) entry.requests());
            entries.add(new SentLoad.TargetWork(entry.name(), prefillGrowth, (int) requestGrowth));
        }
        long prefill = sentByPeers.growth(peer, "", payload.prefillTokens());
        long output = sentByPeers.growth(peer, "/output", payload.outputTokens());
        totals.put("", payload.prefillTokens());
        totals.put("/output", payload.outputTokens());
        sentByPeers.recordTotals(peer, totals);
        router.recordPeerLoad(new SentLoad(entries, prefill, output));
    }

    private static List<String> accountNames(ConfigurationSnapshot snapshot) {
        return snapshot.clientAccounts().stream().map(ClientAccount::name).collect(Collectors.toList());
    }

    private static List<String> mostRecent(Map<String, ?> byName) {
        List<String> names = List.copyOf(byName.keySet());
        return names.subList(Math.max(0, names.size() - MAXIMUM_ENTRIES), names.size());
    }

    private record SentTotal(long prefillTokens, int requests) {}

    /** Total admitted work of an account, in weighted tokens, and the number of its requests that are queued now. */
    record AccountTotal(String name, long cost, int queued) {}

    /** Totals of the work sent to a runner. */
    record RunnerTotal(String name, long prefillTokens, int requests) {}

    /** Totals of admitted work per account. */
    record SharesPayload(List<AccountTotal> accounts) {}

    /** Totals of sent work per runner, and in tokens over all runners. */
    record SentPayload(List<RunnerTotal> runners, long prefillTokens, long outputTokens) {}
}
