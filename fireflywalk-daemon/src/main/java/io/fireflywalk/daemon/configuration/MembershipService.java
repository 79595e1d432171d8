package io.fireflywalk.daemon.configuration;

import io.fireflywalk.core.configuration.ChangeAcknowledgement;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.configuration.DocumentKind;
import io.fireflywalk.core.configuration.MemberDocument;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.membership.RendezvousHashing;
import io.fireflywalk.daemon.peer.HeartbeatService;
import io.fireflywalk.services.configuration.ChangeRecord;
import io.fireflywalk.services.configuration.ConfigurationRepository;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/**
 * Adds this run to the members, removes it at shutdown, and removes runs that have ended. Members change one at a time:
 * a change is made only when a majority of the present members holds the previous one. Confined to one event loop.
 */
public final class MembershipService {
    private static final Logger LOG = Logger.getLogger(MembershipService.class);
    private static final String REMOVAL_UNIT = "membership-removal";
    private static final Duration PERIOD = Duration.ofSeconds(2);
    private static final Duration FIRST_JOIN_PAUSE = Duration.ofMillis(150);
    private static final Duration MAXIMUM_JOIN_PAUSE = Duration.ofSeconds(4);
    private static final int MAXIMUM_DOUBLINGS = 6;
    private static final Duration SETTLE_LIMIT = Duration.ofSeconds(3);

    private Member self;
    private final ConfigurationRepository repository;
    private final ConfigurationWatcher watcher;
    private final ConfigurationExchange exchange;
    private final EndedRuns ended;
    private final HeartbeatService heartbeats;
    private final TimerService timers;
    private final Random random;
    private Optional<Disposable> subscription = Optional.empty();

    MembershipService(
            Member self,
            ConfigurationRepository repository,
            ConfigurationWatcher watcher,
            ConfigurationExchange exchange,
            EndedRuns ended,
            HeartbeatService heartbeats,
            TimerService timers,
            Random random) {
        this.self = self;
        this.repository = repository;
        this.watcher = watcher;
        this.exchange = exchange;
        this.ended = ended;
        this.heartbeats = heartbeats;
        this.timers = timers;
        this.random = random;
    }

    /** Registers this run under its bound peer port and joins. */
    void start(int peerPort) {
        self = self.withPeerPort(peerPort);
        Completable registration = Completable.defer(() -> ended.register(self))
                .onErrorResumeNext(cause -> timers.after(FIRST_JOIN_PAUSE).andThen(Completable.error(cause)))
                .retry();
        subscription = Optional.of(
                registration.andThen(join(0)).andThen(removeEndedRuns()).subscribe());
    }

    void stop() {
        subscription.ifPresent(Disposable::dispose);
    }

    /** Removes this run from the members. The caller has stopped to serve keyed routes before. */
    Completable leave() {
        stop();
        return change(snapshot -> snapshot.memberSet().contains(self.incarnation())
                ? Optional.of(DocumentChange.remove(DocumentKind.MEMBER, self.incarnation()))
                : Optional.empty());
    }

    private Completable join(int attempts) {
        return Completable.defer(() -> change(snapshot -> snapshot.memberSet().contains(self.incarnation())
                        ? Optional.empty()
                        : Optional.of(DocumentChange.put(new MemberDocument(self)))))
                .onErrorResumeNext(cause -> {
                    LOG.infof("event=join_postponed instance=%s cause=\"%s\"", self.instance(), cause.getMessage());
                    return timers.after(pause(attempts)).andThen(Completable.defer(() -> join(attempts + 1)));
                });
    }

    private Completable removeEndedRuns() {
        return Flowable.defer(() -> timers.after(jittered(PERIOD))
                        .andThen(Completable.defer(this::removeOne).onErrorComplete())
                        .toFlowable())
                .repeat()
                .ignoreElements();
    }

    /** The first live member by rendezvous hashing reads the platform's list and removes one ended run. */
    private Completable removeOne() {
        List<Member> live = heartbeats.liveMembers();
        boolean responsible = RendezvousHashing.rank(live, REMOVAL_UNIT, 1).stream()
                .anyMatch(member -> member.incarnation().equals(self.incarnation()));
        if (!responsible) {
            return Completable.complete();
        }
        List<Member> silent = watcher.snapshot().memberSet().members().stream()
                .filter(member -> !live.contains(member))
                .toList();
        return ended.refresh(silent).andThen(Completable.defer(() -> {
            List<Member> members = watcher.snapshot().memberSet().members();
            ended.retain(members.stream().map(Member::incarnation).collect(Collectors.toSet()));
            heartbeats.updateTerminated(ended.incarnations());
            boolean any = members.stream().anyMatch(member -> ended.contains(member.incarnation()));
            return any ? change(this::firstRemoval) : Completable.complete();
        }));
    }

    private Optional<DocumentChange> firstRemoval(ConfigurationSnapshot snapshot) {
        return snapshot.memberSet().members().stream()
                .map(Member::incarnation)
                .filter(ended::contains)
                .findFirst()
                .map(incarnation -> DocumentChange.remove(DocumentKind.MEMBER, incarnation));
    }

    /** Makes one membership change after the previous one has reached a majority. */
    private Completable change(ChangeChoice choice) {
        return watcher.refresh().andThen(Completable.defer(() -> {
            ConfigurationSnapshot base = watcher.snapshot();
            if (choice.choose(base).isEmpty()) {
                return Completable.complete();
            }
            ChangeAcknowledgement previous =
                    ChangeAcknowledgement.begin(base.membershipVersion(), base.memberSet(), 0, 0, 0);
            return exchange.settle(previous, ChangeAcknowledgement::hasMajority, SETTLE_LIMIT)
                    .flatMapCompletable(state -> commit(base, choice, state));
        }));
    }

    private Completable commit(ConfigurationSnapshot base, ChangeChoice choice, ChangeAcknowledgement settled) {
        ConfigurationSnapshot present = watcher.snapshot();
        boolean sameMembers = present.membershipVersion() == base.membershipVersion();
        Optional<DocumentChange> change = choice.choose(present);
        if (change.isEmpty()) {
            return Completable.complete();
        }
        if (!settled.hasMajority() || !sameMembers) {
            return Completable.error(new FireflywalkException(
                    ErrorKind.VERSION_CONFLICT, "the last membership change is not settled", "membership"));
        }
        List<DocumentChange> changes = List.of(change.get());
        long version = present.version() + 1;
        ChangeRecord entry = new ChangeRecord(
                version,
                self.instance(),
                "membership",
                timers.wallClockMilliseconds(),
                DocumentCodec.toMessages(changes));
        return repository
                .commit(UUID.randomUUID().toString(), present.version(), changes, entry)
                .observeOn(timers.scheduler())
                .flatMapCompletable(committed -> {
                    if (!committed) {
                        return Completable.error(new FireflywalkException(
                                ErrorKind.VERSION_CONFLICT, "another change came first", "membership"));
                    }
                    watcher.adoptEntries(List.of(entry));
                    LOG.infof(
                            "event=membership_changed version=%d change=\"%s\"",
                            version, change.get().name());
                    return spread(version);
                });
    }

    private Completable spread(long version) {
        ConfigurationSnapshot present = watcher.snapshot();
        ChangeAcknowledgement state = ChangeAcknowledgement.begin(version, present.memberSet(), 0, 0, 0);
        return Single.defer(() -> exchange.settle(state, ChangeAcknowledgement::hasMajority, SETTLE_LIMIT))
                .ignoreElement();
    }

    private Duration pause(int attempts) {
        long bound = Math.min(
                FIRST_JOIN_PAUSE.toNanos() << Math.min(attempts, MAXIMUM_DOUBLINGS), MAXIMUM_JOIN_PAUSE.toNanos());
        return jittered(Duration.ofNanos(bound));
    }

    private Duration jittered(Duration duration) {
        return Duration.ofNanos((long) (duration.toNanos() * (0.5 + random.nextDouble() / 2)));
    }

    /** Chooses the change that a snapshot still needs. */
    @FunctionalInterface
    private interface ChangeChoice {
        Optional<DocumentChange> choose(ConfigurationSnapshot snapshot);
    }
}
