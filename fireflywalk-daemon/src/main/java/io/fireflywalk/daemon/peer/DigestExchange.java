package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.membership.DigestBoard;
import io.fireflywalk.core.membership.DigestItem;
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
 * Passes digests of load and usage on to random neighbours, half of them in the same availability zone. Each period has
 * a budget of bytes, so at large sizes digests get older instead of larger. Confined to one event loop.
 */
public final class DigestExchange {
    private static final String PATH = "/peer/v1/digests";
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration DEADLINE = Duration.ofMillis(800);
    /** Two neighbours call and two are called per second on average, each time in both directions. */
    private static final int MESSAGE_BUDGET_BYTES = 900;

    private final Member self;
    private final MemberDirectory directory;
    private final Supplier<MemberSet> members;
    private final PeerTransport transport;
    private final TimerService timers;
    private final Random random;
    private final DigestBoard board;
    private final List<Consumer<DigestItem>> listeners = new ArrayList<>();
    private Optional<Disposable> subscription = Optional.empty();

    DigestExchange(
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
        this.board = new DigestBoard(self.incarnation());
    }

    void register(PeerCalls calls) {
        calls.addCall(PATH, DigestMessage.class, message -> {
            List<DigestItem> answer = board.select(MESSAGE_BUDGET_BYTES);
            receive(message);
            return Single.just(new DigestMessage(answer));
        });
    }

    void start() {
        subscription = Optional.of(timers.every(PERIOD).subscribe(tick -> exchange()));
    }

    void stop() {
        subscription.ifPresent(Disposable::dispose);
    }

    /** Sets this member's payload on a topic; a payload that has not changed sends nothing. */
    public void publish(String topic, String payload) {
        board.publish(topic, payload, members.get().size());
    }

    /** Returns the newest known payload of a member on a topic. */
    public Optional<String> payload(String incarnation, String topic) {
        return board.payload(incarnation, topic);
    }

    /** Adds a listener of items that are new to this member. */
    public void addListener(Consumer<DigestItem> listener) {
        listeners.add(listener);
    }

    private void exchange() {
        board.retain(incarnation ->
                incarnation.equals(self.incarnation()) || members.get().contains(incarnation));
        List<Member> others = new ArrayList<>(directory.liveMembers());
        others.removeIf(member -> member.incarnation().equals(self.incarnation()));
        Collections.shuffle(others, random);
        Optional<Member> near = others.stream()
                .filter(member -> member.availabilityZone().equals(self.availabilityZone()))
                .findFirst();
        Optional<Member> far = others.stream()
                .filter(member -> near.isEmpty() || !member.equals(near.get()))
                .findFirst();
        near.ifPresent(this::send);
        far.ifPresent(this::send);
    }

    private void send(Member neighbour) {
        List<DigestItem> items = board.select(MESSAGE_BUDGET_BYTES);
        Disposable unused = transport
                .call(neighbour, PATH, new DigestMessage(items), DigestMessage.class, DEADLINE)
                .observeOn(timers.scheduler())
                .subscribe(this::receive, ignored -> {});
    }

    private void receive(DigestMessage message) {
        board.merge(message.items(), members.get()).forEach(item -> listeners.forEach(each -> each.accept(item)));
    }
}
