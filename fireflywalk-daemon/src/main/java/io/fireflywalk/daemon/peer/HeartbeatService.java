package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.membership.LivenessView;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.membership.MemberBits;
import io.fireflywalk.core.membership.MemberSet;
import io.fireflywalk.core.membership.RendezvousHashing;
import io.fireflywalk.core.membership.RoundAnswer;
import io.fireflywalk.core.membership.RoundCoordinator;
import io.fireflywalk.core.membership.RoundParticipant;
import io.fireflywalk.core.membership.RoundRequest;
import io.fireflywalk.core.membership.RoundTree;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Exchanges heartbeats in rounds. The first live member by rendezvous hashing coordinates them; the next one takes over
 * when it hears no round. Two coordinators at once cost traffic, not safety. Confined to one event loop.
 */
public final class HeartbeatService implements MemberDirectory {
    private static final Logger LOG = Logger.getLogger(HeartbeatService.class);
    private static final String PATH = "/peer/v1/heartbeat";
    private static final String COORDINATOR_UNIT = "heartbeat-coordinator";
    private static final Duration PERIOD = Duration.ofMillis(700);
    private static final int LARGE_FLEET_MEMBERS = 128;
    /** The coordinator of 410 members must stay below 24 KB/s with its share of digests. */
    private static final Duration LARGE_FLEET_PERIOD = Duration.ofSeconds(1);

    private static final Duration LIVENESS_WINDOW = Duration.ofSeconds(5);
    private static final double RELAY_DEADLINE_PERIODS = 0.4;
    private static final double COORDINATOR_DEADLINE_PERIODS = 0.8;
    private static final double TAKEOVER_PERIODS = 1.6;
    private static final double TAKEOVER_PERIODS_PER_RANK = 0.4;
    /** Members look this often per period whether to take over, so that a takeover is not a whole period late. */
    private static final int LOOKS_PER_PERIOD = 4;
    /** A new coordinator makes its first rounds faster, because evidence takes three rounds and the limit is near. */
    private static final int FAST_ROUNDS = 3;

    private final Member self;
    private final Supplier<ConfigurationSnapshot> snapshots;
    private final PeerTransport transport;
    private final TimerService timers;
    private final Random random;
    private final MajorityListener majorityListener;
    private final Consumer<String> behindListener;
    private final LivenessView liveness;
    private RoundParticipant participant = RoundParticipant.create();
    private RoundCoordinator coordinator;
    private boolean coordinating;
    private int fastRoundsLeft;
    private String lastCoordinator = "";
    private long lastRoundHeard;
    private MemberSet rankedMembers = MemberSet.of(List.of());
    private List<Member> ranking = List.of();
    private Optional<Disposable> subscription = Optional.empty();

    HeartbeatService(
            Member self,
            Supplier<ConfigurationSnapshot> snapshots,
            PeerTransport transport,
            TimerService timers,
            Random random,
            MajorityListener majorityListener,
            Consumer<String> behindListener) {
        this.self = self;
        this.snapshots = snapshots;
        this.transport = transport;
        this.timers = timers;
        this.random = random;
        this.majorityListener = majorityListener;
        this.behindListener = behindListener;
        this.liveness = new LivenessView(self.incarnation(), LIVENESS_WINDOW.toNanos());
        this.coordinator = RoundCoordinator.of(self.incarnation());
        this.lastRoundHeard = timers.monotonicNanoseconds();
    }

    void register(PeerCalls calls) {
        calls.addCall(PATH, RoundRequest.class, this::handle);
    }

    void start() {
        lastRoundHeard = timers.monotonicNanoseconds();
        subscription = Optional.of(timers.after(jittered(period()))
                .andThen(Flowable.defer(() -> {
                            tick();
                            return timers.after(pause()).toFlowable();
                        })
                        .repeat())
                .retry()
                .subscribe());
    }

    void stop() {
        subscription.ifPresent(Disposable::dispose);
        coordinating = false;
    }

    @Override
    public List<Member> liveMembers() {
        liveness.update(snapshots.get().memberSet(), timers.monotonicNanoseconds());
        return liveness.liveMembers(timers.monotonicNanoseconds());
    }

    /** Tells whether the member counts as alive. */
    public boolean isLive(String incarnation) {
        return liveness.isLive(incarnation, timers.monotonicNanoseconds());
    }

    /** Tells whether this member coordinates the rounds at present. */
    public boolean isCoordinating() {
        return coordinating;
    }

    /** Takes the incarnations that the platform's list states as ended. */
    public void updateTerminated(Set<String> terminated) {
        liveness.updateTerminated(terminated);
    }

    private void tick() {
        MemberSet members = snapshots.get().memberSet();
        long now = timers.monotonicNanoseconds();
        liveness.update(members, now);
        if (!members.contains(self.incarnation())) {
            coordinating = false;
            return;
        }
        if (!coordinating) {
            double periods = TAKEOVER_PERIODS + TAKEOVER_PERIODS_PER_RANK * rankOf(self.incarnation(), members);
            if (now - lastRoundHeard < period().toNanos() * periods) {
                return;
            }
            coordinating = true;
            fastRoundsLeft = FAST_ROUNDS;
            liveness.suspect(lastCoordinator, now);
            LOG.infof("event=heartbeat_coordinator instance=%s members=%d", self.instance(), members.size());
        }
        beginRound(members);
    }

    private void beginRound(MemberSet members) {
        coordinator = coordinator.begin(members, snapshots.get().version());
        RoundRequest request = coordinator.request();
        receive(request);
        int own = members.indexOf(self.incarnation()).getAsInt();
        long now = timers.monotonicNanoseconds();
        List<RoundTree.Branch> branches = RoundTree.branches(
                members.size(),
                own,
                position -> liveness.isLive(members.members().get(position).incarnation(), now),
                random);
        Duration deadline = scaled(COORDINATOR_DEADLINE_PERIODS);
        for (RoundTree.Branch branch : branches) {
            Member relay = members.members().get(branch.relay());
            Disposable unused = transport
                    .call(relay, PATH, request.withRelay(branch.members()), RoundAnswer.class, deadline)
                    .observeOn(timers.scheduler())
                    .subscribe(
                            answer -> coordinator = coordinator.answer(request.round(), branch.relay(), answer),
                            ignored -> {});
        }
    }

    private Single<RoundAnswer> handle(RoundRequest request) {
        MemberSet members = receive(request);
        if (request.relay().isEmpty() || !request.memberSet().equals(members.fingerprint())) {
            return Single.just(new RoundAnswer(snapshots.get().version(), ""));
        }
        Duration deadline = scaled(RELAY_DEADLINE_PERIODS);
        return Flowable.fromIterable(request.relay())
                .filter(position -> position >= 0 && position < members.size())
                .flatMapMaybe(position -> ask(members, position, request.withoutRelay(), deadline))
                .collect(Gathered::new, Gathered::add)
                .observeOn(timers.scheduler())
                .map(gathered -> new RoundAnswer(
                        Math.max(snapshots.get().version(), gathered.version), gathered.answered.encode()));
    }

    private Maybe<ChildAnswer> ask(MemberSet members, int position, RoundRequest request, Duration deadline) {
        return transport
                .call(members.members().get(position), PATH, request, RoundAnswer.class, deadline)
                .observeOn(timers.scheduler())
                .map(answer -> new ChildAnswer(position, answer.version()))
                .toMaybe()
                .onErrorComplete();
    }

    /** Takes what the heartbeat says and returns the members at this instance. */
    private MemberSet receive(RoundRequest request) {
        long now = timers.monotonicNanoseconds();
        MemberSet members = snapshots.get().memberSet();
        liveness.update(members, now);
        participant = participant.received(request, now);
        lastRoundHeard = now;
        lastCoordinator = request.coordinator();
        boolean fromOther = !request.coordinator().equals(self.incarnation());
        if (coordinating && fromOther && rankOf(request.coordinator(), members) < rankOf(self.incarnation(), members)) {
            coordinating = false;
        }
        if (request.memberSet().equals(members.fingerprint())) {
            liveness.heard(request.coordinator(), now);
            request.previous().ifPresent(result -> markHeard(members, MemberBits.decode(result.answered()), now));
        }
        participant
                .evidence(request, members, self.incarnation())
                .ifPresent(evidence -> majorityListener.majorityHeld(evidence.began(), evidence.version()));
        if (request.version() > snapshots.get().version()) {
            behindListener.accept(request.coordinator());
        }
        return members;
    }

    private void markHeard(MemberSet members, MemberBits answered, long now) {
        for (int position = 0; position < members.size(); position++) {
            if (answered.contains(position)) {
                liveness.heard(members.members().get(position).incarnation(), now);
            }
        }
    }

    private int rankOf(String incarnation, MemberSet members) {
        if (!members.fingerprint().equals(rankedMembers.fingerprint())) {
            rankedMembers = members;
            ranking = RendezvousHashing.rank(members.members(), COORDINATOR_UNIT, members.size());
        }
        for (int rank = 0; rank < ranking.size(); rank++) {
            if (ranking.get(rank).incarnation().equals(incarnation)) {
                return rank;
            }
        }
        return ranking.size();
    }

    private Duration pause() {
        if (!coordinating) {
            return scaled(1.0 / LOOKS_PER_PERIOD);
        }
        if (fastRoundsLeft > 0) {
            fastRoundsLeft--;
            return scaled(1.0 / FAST_ROUNDS);
        }
        return period();
    }

    private Duration period() {
        return snapshots.get().memberSet().size() > LARGE_FLEET_MEMBERS ? LARGE_FLEET_PERIOD : PERIOD;
    }

    private Duration scaled(double factor) {
        return Duration.ofNanos((long) (period().toNanos() * factor));
    }

    private Duration jittered(Duration duration) {
        return Duration.ofNanos((long) (duration.toNanos() * random.nextDouble()));
    }

    private record ChildAnswer(int position, long version) {}

    private static final class Gathered {
        private MemberBits answered = MemberBits.none();
        private long version;

        private void add(ChildAnswer answer) {
            answered = answered.with(answer.position());
            version = Math.max(version, answer.version());
        }
    }
}
