package io.fireflywalk.daemon.admission;

import io.fireflywalk.core.admission.UsageDigest;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.membership.DigestItem;
import io.fireflywalk.core.routing.SentDigest;
import io.fireflywalk.daemon.peer.DigestExchange;
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
 * Tells the peers what this instance admitted for each client account and sent to each runner, and passes on what the
 * peers tell. An item names at most {@value #MAXIMUM_NAMES} accounts or runners, those with the newest work. Confined
 * to one event loop.
 */
public final class WorkExchange {
    private static final Logger LOG = Logger.getLogger(WorkExchange.class);
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final String SHARES = "shares";
    private static final String SENT = "sent";
    /** Twelve names of about 30 bytes stay within the byte budget of one digest message. */
    private static final int MAXIMUM_NAMES = 12;

    private final TimerService timers;
    private final Supplier<ConfigurationSnapshot> snapshots;
    private final Supplier<Set<String>> livePeers;
    private final AdmissionGate gate;
    private final RunnerRouter router;
    private final DigestExchange digests;
    private final Map<String, Long> admitted = new LinkedHashMap<>();
    private final Map<String, Sent> sent = new LinkedHashMap<>();
    private final CumulativeTotals admittedByPeers = new CumulativeTotals();
    private final CumulativeTotals sentByPeers = new CumulativeTotals();
    private long prefillTokens;
    private long outputTokens;
    private Optional<Disposable> subscription = Optional.empty();

    public WorkExchange(
            TimerService timers,
            Supplier<ConfigurationSnapshot> snapshots,
            Supplier<Set<String>> livePeers,
            AdmissionGate gate,
            RunnerRouter router,
            DigestExchange digests) {
        this.timers = timers;
        this.snapshots = snapshots;
        this.livePeers = livePeers;
        this.gate = gate;
        this.router = router;
        this.digests = digests;
        digests.addListener(this::receive);
    }

    /** Starts to tell the peers. */
    public void start() {
        subscription = Optional.of(timers.every(PERIOD).subscribe(tick -> publish()));
    }

    /** Stops to tell the peers. */
    public void stop() {
        subscription.ifPresent(Disposable::dispose);
    }

    private void publish() {
        Set<String> live = livePeers.get();
        admittedByPeers.retain(live);
        sentByPeers.retain(live);
        digests.publish(SHARES, Codec.json().write(shares()));
        digests.publish(SENT, Codec.json().write(sentWork()));
    }

    private SharesPayload shares() {
        List<String> names = accountNames(snapshots.get());
        admitted.keySet().retainAll(Set.copyOf(names));
        Map<String, Integer> queued = new HashMap<>();
        for (UsageDigest.Entry entry : gate.takeDigest().entries()) {
            String name = names.get(entry.account());
            // Taken out and put in again, so that the accounts with the newest work stand last.
            long before = Optional.ofNullable(admitted.remove(name)).orElse(0L);
            admitted.put(name, before + entry.cost());
            queued.put(name, entry.queued());
        }
        List<AccountTotal> entries = newest(admitted).stream()
                .map(name -> new AccountTotal(name, admitted.get(name), queued.getOrDefault(name, 0)))
                .toList();
        return new SharesPayload(entries);
    }

    private SentPayload sentWork() {
        SentDigest digest = router.takeDigest();
        prefillTokens += digest.prefillTokens();
        outputTokens += digest.outputTokens();
        sent.keySet().removeIf(name -> snapshots.get().target(name).isEmpty());
        for (SentDigest.Sent entry : digest.sent()) {
            Sent before = Optional.ofNullable(sent.remove(entry.target())).orElse(new Sent(0, 0));
            sent.put(
                    entry.target(),
                    new Sent(before.prefillTokens() + entry.prefillTokens(), before.requests() + entry.requests()));
        }
        List<RunnerTotal> entries = newest(sent).stream()
                .map(name -> new RunnerTotal(
                        name, sent.get(name).prefillTokens(), sent.get(name).requests()))
                .toList();
        return new SentPayload(entries, prefillTokens, outputTokens);
    }

    private void receive(DigestItem item) {
        try {
            if (item.topic().equals(SHARES)) {
                receiveShares(item.incarnation(), Codec.json().read(item.payload(), SharesPayload.class, SHARES));
            } else if (item.topic().equals(SENT)) {
                receiveSent(item.incarnation(), Codec.json().read(item.payload(), SentPayload.class, SENT));
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
        admittedByPeers.seen(peer, totals);
        gate.peerUsed(peer, new UsageDigest(snapshot.version(), entries));
    }

    private void receiveSent(String peer, SentPayload payload) {
        Map<String, Long> totals = new HashMap<>();
        List<SentDigest.Sent> entries = new ArrayList<>();
        for (RunnerTotal entry : payload.runners()) {
            String requestsName = entry.name() + "/requests";
            long prefillGrowth = sentByPeers.growth(peer, entry.name(), entry.prefillTokens());
            long requestGrowth = sentByPeers.growth(peer, requestsName, entry.requests());
            totals.put(entry.name(), entry.prefillTokens());
            totals.put(requestsName, (long) entry.requests());
            entries.add(new SentDigest.Sent(entry.name(), prefillGrowth, (int) requestGrowth));
        }
        long prefill = sentByPeers.growth(peer, "", payload.prefillTokens());
        long output = sentByPeers.growth(peer, "/output", payload.outputTokens());
        totals.put("", payload.prefillTokens());
        totals.put("/output", payload.outputTokens());
        sentByPeers.seen(peer, totals);
        router.peerSent(new SentDigest(entries, prefill, output));
    }

    private static List<String> accountNames(ConfigurationSnapshot snapshot) {
        return snapshot.clientAccounts().stream().map(ClientAccount::name).collect(Collectors.toList());
    }

    private static List<String> newest(Map<String, ?> byName) {
        List<String> names = List.copyOf(byName.keySet());
        return names.subList(Math.max(0, names.size() - MAXIMUM_NAMES), names.size());
    }

    private record Sent(long prefillTokens, int requests) {}

    /** Total of admitted work of an account, in weighted tokens, and its requests in queues now. */
    record AccountTotal(String name, long cost, int queued) {}

    /** Total of what was sent to a runner. */
    record RunnerTotal(String name, long prefillTokens, int requests) {}

    /** Totals of admitted work by account. */
    record SharesPayload(List<AccountTotal> accounts) {}

    /** Totals of sent work by runner and of all runners, in tokens. */
    record SentPayload(List<RunnerTotal> runners, long prefillTokens, long outputTokens) {}
}
