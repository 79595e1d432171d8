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

/** Sends the changed rows of a ledger to two peers in other availability zones. Confined to one event loop. */
final class UsageCopier {
    private static final int COPIES = 2;
    private static final int ROWS_PER_MESSAGE = 2048;
    /** A peer that failed is passed over for this time, so that the next one is tried within the longest hold. */
    private static final Duration PASS_OVER = Duration.ofSeconds(2);

    private static final Duration RETRY = Duration.ofMillis(20);

    private final UsageLedger ledger;
    private final UsageCopySender sender;
    private final MemberDirectory members;
    private final Member self;
    private final TimerService timers;
    private final UsageLimits limits;
    private final Runnable held;
    private final Counter messages;
    private final Counter failures;
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private final Map<String, Long> passedOverUntil = new HashMap<>();
    private final Map<String, Channel> channels = new HashMap<>();
    private List<Member> knownMembers = List.of();
    private List<Member> order = List.of();
    private List<Member> peers = List.of();

    UsageCopier(
            UsageLedger ledger,
            UsageCopySender sender,
            MemberDirectory members,
            Member self,
            TimerService timers,
            UsageLimits limits,
            Runnable held,
            MetricRegistry metrics) {
        this.ledger = ledger;
        this.sender = sender;
        this.members = members;
        this.self = self;
        this.timers = timers;
        this.limits = limits;
        this.held = held;
        this.messages = metrics.counter("usage_copy_messages");
        this.failures = metrics.counter("usage_copy_failures");
    }

    /** Sends what the peers lack, now or when the interval allows it. */
    void changed() {
        if (knownMembers.isEmpty()) {
            refresh();
        }
        peers.forEach(this::send);
    }

    /** Chooses the peers anew from the live members and from those that failed lately. */
    void refresh() {
        List<Member> chosen = choosePeers();
        if (!chosen.equals(peers)) {
            peers = chosen;
            List<String> incarnations = chosen.stream().map(Member::incarnation).toList();
            ledger.setPeers(incarnations);
            channels.keySet().retainAll(incarnations);
        }
    }

    boolean hasEnoughPeers() {
        return peers.size() >= COPIES;
    }

    void stop() {
        subscriptions.clear();
    }

    private void send(Member peer) {
        Channel channel = channels.computeIfAbsent(peer.incarnation(), name -> new Channel());
        if (channel.busy) {
            return;
        }
        long now = timers.monotonicNanoseconds();
        long wait = channel.nextSendAt.map(at -> at - now).orElse(0L);
        if (wait > 0) {
            later(channel, Duration.ofNanos(wait));
            return;
        }
        UsageBatch batch = ledger.nextCopies(peer.incarnation(), ROWS_PER_MESSAGE);
        long flushedThrough = ledger.flushedThrough();
        if (batch.rows().isEmpty() && flushedThrough == channel.announcedFlush) {
            return;
        }
        channel.busy = true;
        channel.nextSendAt = Optional.of(now + limits.copyInterval().toNanos());
        messages.inc();
        subscriptions.add(sender.send(peer, new UsageMessages.Copies(self.incarnation(), batch.rows(), flushedThrough))
                .observeOn(timers.scheduler())
                .subscribe(
                        answer -> answered(peer, channel, batch, flushedThrough, answer.held()),
                        cause -> answered(peer, channel, batch, flushedThrough, false)));
    }

    private void answered(Member peer, Channel channel, UsageBatch batch, long flushedThrough, boolean accepted) {
        channel.busy = false;
        if (channels.get(peer.incarnation()) != channel) {
            return;
        }
        if (accepted) {
            channel.announcedFlush = flushedThrough;
            ledger.copiesHeld(peer.incarnation(), batch.through());
            held.run();
        } else {
            failures.inc();
            ledger.copiesFailed(peer.incarnation());
            passedOverUntil.put(peer.incarnation(), timers.monotonicNanoseconds() + PASS_OVER.toNanos());
            channel.nextSendAt = Optional.of(timers.monotonicNanoseconds() + RETRY.toNanos());
            refresh();
        }
        changed();
    }

    private void later(Channel channel, Duration delay) {
        if (channel.scheduled) {
            return;
        }
        channel.scheduled = true;
        subscriptions.add(timers.after(delay).observeOn(timers.scheduler()).subscribe(() -> {
            channel.scheduled = false;
            changed();
        }));
    }

    private List<Member> choosePeers() {
        long now = timers.monotonicNanoseconds();
        passedOverUntil.values().removeIf(until -> until - now <= 0);
        List<Member> live = members.liveMembers();
        if (!live.equals(knownMembers)) {
            knownMembers = List.copyOf(live);
            List<Member> elsewhere = live.stream()
                    .filter(member -> !member.availabilityZone().equals(self.availabilityZone()))
                    .toList();
            order = RendezvousHashing.rank(elsewhere, self.incarnation(), elsewhere.size());
        }
        List<Member> chosen = new ArrayList<>();
        // A second pass takes peers of other regions, and a third those of a zone that is already chosen.
        for (Preference preference : Preference.values()) {
            for (Member member : order) {
                boolean near =
                        preference == Preference.OTHER_ZONE || member.region().equals(self.region());
                boolean newZone = chosen.stream()
                        .noneMatch(other -> other.availabilityZone().equals(member.availabilityZone()));
                boolean fits = preference == Preference.ANY || (near && newZone);
                if (chosen.size() < COPIES
                        && fits
                        && !chosen.contains(member)
                        && !passedOverUntil.containsKey(member.incarnation())) {
                    chosen.add(member);
                }
            }
        }
        return chosen;
    }

    private enum Preference {
        SAME_REGION_AND_OTHER_ZONE,
        OTHER_ZONE,
        ANY
    }

    private static final class Channel {
        private boolean busy;
        private boolean scheduled;
        private Optional<Long> nextSendAt = Optional.empty();
        private long announcedFlush;
    }
}
