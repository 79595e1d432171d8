package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.membership.GossipItem;
import io.fireflywalk.core.membership.GossipState;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.membership.MemberSet;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Gossips digests of load and usage with two random members per period, one of them in the same availability zone if
 * there is one. Messages have a size limit, so in large fleets digests get older rather than messages larger. Confined
 * to one event loop.
 */
public final class GossipExchange {
    private static final String PATH = "/peer/v1/digests";
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);
    /** On average a member makes two exchanges per second and answers two, each with a message in both directions. */
    private static final int MAXIMUM_MESSAGE_BYTES = 900;

    private final Member self;
    private final MemberDirectory directory;
    private final Supplier<MemberSet> members;
    private final PeerTransport transport;
    private final TimerService timers;
    private final Random random;
    private final GossipState gossipState;
    private final List<Consumer<GossipItem>> listeners = new ArrayList<>();
    private Optional<Disposable> subscription = Optional.empty();

    GossipExchange(
            Member self,
            MemberDirectory directory,
            Supplier<MemberSet> members,
            PeerTransport transport,
            TimerService timers,
            Random random) {
        this.self = self;
        this.directory = directory;
        this.members = members;
        this.transport = transport;
        this.timers = timers;
        this.random = random;
        this.gossipState = new GossipState(self.incarnation());
    }

    void register(PeerHandlerRegistry registry) {
        registry.addHandler(PATH, GossipMessage.class, message -> {
            List<GossipItem> response = gossipState.select(MAXIMUM_MESSAGE_BYTES);
            receive(message);
            return Single.just(new GossipMessage(response));
        });
    }

    void start() {
        subscription = Optional.of(timers.every(PERIOD).subscribe(tick -> exchange()));
    }

    void stop() {
        subscription.ifPresent(Disposable::dispose);
    }

    /** Sets this member's payload on a topic; an unchanged payload is not sent again. */
    public void publish(String topic, String payload) {
        gossipState.publish(topic, payload, members.get().size());
    }

    /** Returns the latest known payload of a member on a topic. */
    public Optional<String> payload(String incarnation, String topic) {
        return gossipState.payload(incarnation, topic);
    }

    /** Adds a listener for items that are new to this member. */
    public void addListener(Consumer<GossipItem> listener) {
        listeners.add(listener);
    }

    private void exchange() {
        gossipState.retain(incarnation ->
                incarnation.equals(self.incarnation()) || members.get().contains(incarnation));
        List<Member> peers = new ArrayList<>(directory.liveMembers());
        peers.removeIf(member -> member.incarnation().equals(self.incarnation()));
        Collections.shuffle(peers, random);
        Optional<Member> zonePeer = peers.stream()
                .filter(member -> member.availabilityZone().equals(self.availabilityZone()))
                .findFirst();
        Optional<Member> otherPeer = peers.stream()
                .filter(member -> zonePeer.isEmpty() || !member.equals(zonePeer.get()))
                .findFirst();
        zonePeer.ifPresent(this::send);
        otherPeer.ifPresent(this::send);
    }

    private void send(Member peer) {
        List<GossipItem> items = gossipState.select(MAXIMUM_MESSAGE_BYTES);
        Disposable unused = transport
                .call(peer, PATH, new GossipMessage(items), GossipMessage.class, CALL_TIMEOUT)
                .observeOn(timers.scheduler())
                .subscribe(this::receive, ignored -> {});
    }

    private void receive(GossipMessage message) {
        gossipState.merge(message.items(), members.get()).forEach(item -> listeners.forEach(each -> each.accept(item)));
    }
}
