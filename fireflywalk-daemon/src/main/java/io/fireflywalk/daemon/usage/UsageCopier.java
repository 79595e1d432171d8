package io.fireflywalk.daemon.usage;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.membership.RendezvousHashing;
import io.fireflywalk.core.usage.UsageBatch;
import io.fireflywalk.core.usage.UsageLedger;
import io.fireflywalk.daemon.peer.MemberDirectory;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Copies the changed rows of a ledger to two peers in other availability zones. Confined to one event loop. */
final class UsageCopier {
    private static final int COPIES_PER_ROW = 2;
    private static final int MAXIMUM_ROWS_PER_MESSAGE = 2048;
    /** A peer that failed is not chosen for this time, so that another one is tried within the maximum hold. */
    private static final Duration FAILED_PEER_EXCLUSION = Duration.ofSeconds(2);

    private static final Duration RETRY_DELAY = Duration.ofMillis(20);

    private final UsageLedger ledger;
    private final UsageCopySender sender;
    private final MemberDirectory members;
    private final Member self;
    private final TimerService timers;
    private final UsageLimits limits;
    private final Runnable onCopiesHeld;
    private final Counter messages;
    private final Counter failures;
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private final Map<String, Long> excludedUntil = new HashMap<>();
    private final Map<String, PeerState> peerStates = new HashMap<>();
    private List<Member> rankedMembers = List.of();
    private List<Member> peersByRank = List.of();
    private List<Member> peers = List.of();

    UsageCopier(
            UsageLedger ledger,
            UsageCopySender sender,
            MemberDirectory members,
            Member self,
            TimerService timers,
            UsageLimits limits,
            Runnable onCopiesHeld,
            MetricRegistry metrics) {
        this.ledger = ledger;
        this.sender = sender;
        this.members = members;
        this.self = self;
        this.timers = timers;
        this.limits = limits;
        this.onCopiesHeld = onCopiesHeld;
        this.messages = metrics.counter("usage_copy_messages");
        this.failures = metrics.counter("usage_copy_failures");
    }

    /** Sends the rows that the peers lack, immediately or when the copy interval has passed. */
    void sendPending() {
        if (rankedMembers.isEmpty()) {
            updatePeers();
        }
        peers.forEach(this::send);
    }

    /** Chooses the peers again from the live members, leaving out those that failed recently. */
    void updatePeers() {
        List<Member> chosen = choosePeers();
        if (!chosen.equals(peers)) {
            peers = chosen;
            List<String> incarnations = chosen.stream().map(Member::incarnation).toList();
            ledger.setPeers(incarnations);
            peerStates.keySet().retainAll(incarnations);
        }
    }

    boolean hasEnoughPeers() {
        return peers.size() >= COPIES_PER_ROW;
    }

    void stop() {
        subscriptions.clear();
    }

    private void send(Member peer) {
        PeerState state = peerStates.computeIfAbsent(peer.incarnation(), name -> new PeerState());
        if (state.sendInFlight) {
            return;
        }
        long now = timers.monotonicNanoseconds();
        long delayNanoseconds = state.nextSendAt.map(at -> at - now).orElse(0L);
        if (delayNanoseconds > 0) {
            scheduleSend(state, Duration.ofNanos(delayNanoseconds));
            return;
        }
        UsageBatch batch = ledger.nextCopies(peer.incarnation(), MAXIMUM_ROWS_PER_MESSAGE);
        long flushedThrough = ledger.flushedThrough();
        if (batch.rows().isEmpty() && flushedThrough == state.announcedFlushedThrough) {
            return;
        }
        state.sendInFlight = true;
        state.nextSendAt = Optional.of(now + limits.copyInterval().toNanos());
        messages.inc();
        subscriptions.add(sender.send(peer, new UsageMessages.Copies(self.incarnation(), batch.rows(), flushedThrough))
                .observeOn(timers.scheduler())
                .subscribe(
                        response -> sendCompleted(peer, state, batch, flushedThrough, response.held()),
                        cause -> sendCompleted(peer, state, batch, flushedThrough, false)));
    }

    private void sendCompleted(Member peer, PeerState state, UsageBatch batch, long flushedThrough, boolean accepted) {
        state.sendInFlight = false;
        if (peerStates.get(peer.incarnation()) != state) {
            return;
        }
        if (accepted) {
            state.announcedFlushedThrough = flushedThrough;
            ledger.copiesAcknowledged(peer.incarnation(), batch.through());
            onCopiesHeld.run();
        } else {
            failures.inc();
            ledger.copiesFailed(peer.incarnation());
            excludedUntil.put(peer.incarnation(), timers.monotonicNanoseconds() + FAILED_PEER_EXCLUSION.toNanos());
            state.nextSendAt = Optional.of(timers.monotonicNanoseconds() + RETRY_DELAY.toNanos());
            updatePeers();
        }
        sendPending();
    }

    private void scheduleSend(PeerState state, Duration delay) {
        if (state.sendScheduled) {
            return;
        }
        state.sendScheduled = true;
        subscriptions.add(timers.after(delay).observeOn(timers.scheduler()).subscribe(() -> {
            state.sendScheduled = false;
            sendPending();
        }));
    }

    private List<Member> choosePeers() {
        long now = timers.monotonicNanoseconds();
        excludedUntil.values().removeIf(until -> until - now <= 0);
        List<Member> live = members.liveMembers();
        if (!live.equals(rankedMembers)) {
            rankedMembers = List.copyOf(live);
            List<Member> inOtherZones = live.stream()
                    .filter(member -> !member.availabilityZone().equals(self.availabilityZone()))
                    .toList();
            peersByRank = RendezvousHashing.rank(inOtherZones, self.incarnation(), inOtherZones.size());
        }
        List<Member> chosen = new ArrayList<>();
        // The second pass admits other regions, and the third also zones that already have a chosen peer.
        for (PeerPreference preference : PeerPreference.values()) {
            for (Member member : peersByRank) {
                boolean regionAllowed = preference == PeerPreference.OTHER_ZONE
                        || member.region().equals(self.region());
                boolean newZone = chosen.stream()
                        .noneMatch(other -> other.availabilityZone().equals(member.availabilityZone()));
                boolean eligible = preference == PeerPreference.ANY || (regionAllowed && newZone);
                if (chosen.size() < COPIES_PER_ROW
                        && eligible
                        && !chosen.contains(member)
                        && !excludedUntil.containsKey(member.incarnation())) {
                    chosen.add(member);
                }
            }
        }
        return chosen;
    }

    private enum PeerPreference {
        SAME_REGION_AND_OTHER_ZONE,
        OTHER_ZONE,
        ANY
    }

    private static final class PeerState {
        private boolean sendInFlight;
        private boolean sendScheduled;
        private Optional<Long> nextSendAt = Optional.empty();
        private long announcedFlushedThrough;
    }
}
