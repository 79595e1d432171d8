package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.membership.LivenessView;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.membership.MemberSet;
import io.fireflywalk.core.membership.MemberSubset;
import io.fireflywalk.core.membership.RelayTree;
import io.fireflywalk.core.membership.RendezvousHashing;
import io.fireflywalk.core.membership.RoundCoordinator;
import io.fireflywalk.core.membership.RoundParticipant;
import io.fireflywalk.core.membership.RoundRequest;
import io.fireflywalk.core.membership.RoundResponse;
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
 * Exchanges heartbeats in rounds. The first live member by rendezvous hashing is the coordinator; the next one takes
 * over when it receives no round. Two concurrent coordinators are safe and only cause extra traffic. Confined to one
 * event loop.
 */
public final class HeartbeatService implements MemberDirectory {
    private static final Logger LOG = Logger.getLogger(HeartbeatService.class);
    private static final String PATH = "/peer/v1/heartbeat";
    private static final String COORDINATOR_HASH_KEY = "heartbeat-coordinator";
    private static final Duration SMALL_FLEET_PERIOD = Duration.ofMillis(700);
    private static final int MAXIMUM_SMALL_FLEET_MEMBERS = 128;
    /** Keeps the coordinator of 410 members below 24 KB/s, including its gossip of digests. */
    private static final Duration LARGE_FLEET_PERIOD = Duration.ofSeconds(1);

    private static final Duration LIVENESS_WINDOW = Duration.ofSeconds(5);
    private static final double RELAY_TIMEOUT_PERIODS = 0.4;
    private static final double COORDINATOR_TIMEOUT_PERIODS = 0.8;
    private static final double TAKEOVER_PERIODS = 1.6;
    private static final double TAKEOVER_PERIODS_PER_RANK = 0.4;
    /** Several checks per period, so that a takeover is not delayed by a whole period. */
    private static final int TAKEOVER_CHECKS_PER_PERIOD = 4;
    /** Shorter first rounds of a new coordinator: evidence takes three rounds, and the freshness limit is near. */
    private static final int FAST_ROUNDS = 3;

    private final Member self;
    private final Supplier<ConfigurationSnapshot> snapshots;
    private final PeerTransport transport;
    private final TimerService timers;
    private final Random random;
    private final MajorityListener majorityListener;
    private final Consumer<String> newerVersionListener;
    private final LivenessView liveness;
    private RoundParticipant participant = RoundParticipant.create();
    private RoundCoordinator coordinator;
    private boolean coordinating;
    private int fastRoundsLeft;
    private String lastCoordinator = "";
    private long lastRoundReceivedAt;
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
            Consumer<String> newerVersionListener) {
        this.self = self;
        this.snapshots = snapshots;
        this.transport = transport;
        this.timers = timers;
        this.random = random;
        this.majorityListener = majorityListener;
        this.newerVersionListener = newerVersionListener;
        this.liveness = new LivenessView(self.incarnation(), LIVENESS_WINDOW.toNanos());
        this.coordinator = RoundCoordinator.of(self.incarnation());
        this.lastRoundReceivedAt = timers.monotonicNanoseconds();
    }

    void register(PeerHandlerRegistry registry) {
        registry.addHandler(PATH, RoundRequest.class, this::handle);
    }

    void start() {
        lastRoundReceivedAt = timers.monotonicNanoseconds();
        subscription = Optional.of(timers.after(jittered(roundPeriod()))
                .andThen(Flowable.defer(() -> {
                            tick();
                            return timers.after(nextDelay()).toFlowable();
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

    /** Returns whether the member is considered live. */
    public boolean isLive(String incarnation) {
        return liveness.isLive(incarnation, timers.monotonicNanoseconds());
    }

    /** Returns whether this member currently coordinates the rounds. */
    public boolean isCoordinating() {
        return coordinating;
    }

    /** Sets the incarnations that are known to have terminated. */
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
            if (now - lastRoundReceivedAt < roundPeriod().toNanos() * periods) {
                return;
            }
            coordinating = true;
            fastRoundsLeft = FAST_ROUNDS;
            liveness.suspect(lastCoordinator, now);
            LOG.infof("event=heartbeat_coordinator instance=%s members=%d", self.instance(), members.size());
        }
        startRound(members);
    }

    private void startRound(MemberSet members) {
        coordinator = coordinator.startRound(members, snapshots.get().version());
        RoundRequest request = coordinator.request();
        receive(request);
        int ownPosition = members.indexOf(self.incarnation()).getAsInt();
        long now = timers.monotonicNanoseconds();
        List<RelayTree.Branch> branches = RelayTree.branches(
                members.size(),
                ownPosition,
                position -> liveness.isLive(members.members().get(position).incarnation(), now),
                random);
        Duration timeout = scaledPeriod(COORDINATOR_TIMEOUT_PERIODS);
        for (RelayTree.Branch branch : branches) {
            Member relay = members.members().get(branch.relay());
            Disposable unused = transport
                    .call(relay, PATH, request.withRelay(branch.members()), RoundResponse.class, timeout)
                    .observeOn(timers.scheduler())
                    .subscribe(
                            response ->
                                    coordinator = coordinator.recordResponse(request.round(), branch.relay(), response),
                            ignored -> {});
        }
    }

    private Single<RoundResponse> handle(RoundRequest request) {
        MemberSet members = receive(request);
        if (request.relay().isEmpty() || !request.memberSet().equals(members.fingerprint())) {
            return Single.just(new RoundResponse(snapshots.get().version(), ""));
        }
        Duration timeout = scaledPeriod(RELAY_TIMEOUT_PERIODS);
        return Flowable.fromIterable(request.relay())
                .filter(position -> position >= 0 && position < members.size())
                .flatMapMaybe(position -> sendHeartbeat(members, position, request.withoutRelay(), timeout))
                .collect(CollectedResponses::new, CollectedResponses::add)
                .observeOn(timers.scheduler())
                .map(collected -> new RoundResponse(
                        Math.max(snapshots.get().version(), collected.version), collected.responders.encode()));
    }

    private Maybe<MemberResponse> sendHeartbeat(
            MemberSet members, int position, RoundRequest request, Duration timeout) {
        return transport
                .call(members.members().get(position), PATH, request, RoundResponse.class, timeout)
                .observeOn(timers.scheduler())
                .map(response -> new MemberResponse(position, response.version()))
                .toMaybe()
                .onErrorComplete();
    }

    /** Processes a heartbeat and returns the member set of this instance. */
    private MemberSet receive(RoundRequest request) {
        long now = timers.monotonicNanoseconds();
        MemberSet members = snapshots.get().memberSet();
        liveness.update(members, now);
        participant = participant.received(request, now);
        lastRoundReceivedAt = now;
        lastCoordinator = request.coordinator();
        boolean fromOtherCoordinator = !request.coordinator().equals(self.incarnation());
        if (coordinating
                && fromOtherCoordinator
                && rankOf(request.coordinator(), members) < rankOf(self.incarnation(), members)) {
            coordinating = false;
        }
        if (request.memberSet().equals(members.fingerprint())) {
            liveness.recordActivity(request.coordinator(), now);
            request.previous()
                    .ifPresent(result -> recordResponders(members, MemberSubset.decode(result.answered()), now));
        }
        participant
                .evidence(request, members, self.incarnation())
                .ifPresent(evidence -> majorityListener.onMajorityCheck(evidence.startedAt(), evidence.version()));
        if (request.version() > snapshots.get().version()) {
            newerVersionListener.accept(request.coordinator());
        }
        return members;
    }

    private void recordResponders(MemberSet members, MemberSubset responders, long now) {
        for (int position = 0; position < members.size(); position++) {
            if (responders.contains(position)) {
                liveness.recordActivity(members.members().get(position).incarnation(), now);
            }
        }
    }

    private int rankOf(String incarnation, MemberSet members) {
        if (!members.fingerprint().equals(rankedMembers.fingerprint())) {
            rankedMembers = members;
            ranking = RendezvousHashing.rank(members.members(), COORDINATOR_HASH_KEY, members.size());
        }
        for (int rank = 0; rank < ranking.size(); rank++) {
            if (ranking.get(rank).incarnation().equals(incarnation)) {
                return rank;
            }
        }
        return ranking.size();
    }

    private Duration nextDelay() {
        if (!coordinating) {
            return scaledPeriod(1.0 / TAKEOVER_CHECKS_PER_PERIOD);
        }
        if (fastRoundsLeft > 0) {
            fastRoundsLeft--;
            return scaledPeriod(1.0 / FAST_ROUNDS);
        }
        return roundPeriod();
    }

    private Duration roundPeriod() {
        return snapshots.get().memberSet().size() > MAXIMUM_SMALL_FLEET_MEMBERS
                ? LARGE_FLEET_PERIOD
                : SMALL_FLEET_PERIOD;
    }

    private Duration scaledPeriod(double factor) {
        return Duration.ofNanos((long) (roundPeriod().toNanos() * factor));
    }

    private Duration jittered(Duration duration) {
        return Duration.ofNanos((long) (duration.toNanos() * random.nextDouble()));
    }

    private record MemberResponse(int position, long version) {}

    private static final class CollectedResponses {
        private MemberSubset responders = MemberSubset.none();
        private long version;

        private void add(MemberResponse response) {
            responders = responders.with(response.position());
            version = Math.max(version, response.version());
        }
    }
}
