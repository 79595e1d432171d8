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
 * Adds this incarnation to the members, removes it at shutdown, and removes members that have terminated. Membership
 * changes one member at a time, and only once a majority of the current members holds the previous change. Confined to
 * one event loop.
 */
public final class MembershipService {
    private static final Logger LOG = Logger.getLogger(MembershipService.class);
    private static final String REMOVAL_HASH_KEY = "membership-removal";
    private static final Duration REMOVAL_PERIOD = Duration.ofSeconds(2);
    private static final Duration INITIAL_JOIN_BACKOFF = Duration.ofMillis(150);
    private static final Duration MAXIMUM_JOIN_BACKOFF = Duration.ofSeconds(4);
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 6;
    private static final Duration MAJORITY_TIMEOUT = Duration.ofSeconds(3);

    private Member self;
    private final ConfigurationRepository repository;
    private final ConfigurationWatcher watcher;
    private final ConfigurationReplicator replicator;
    private final TerminatedIncarnations terminated;
    private final HeartbeatService heartbeats;
    private final TimerService timers;
    private final Random random;
    private Optional<Disposable> subscription = Optional.empty();

    MembershipService(
            Member self,
            ConfigurationRepository repository,
            ConfigurationWatcher watcher,
            ConfigurationReplicator replicator,
            TerminatedIncarnations terminated,
            HeartbeatService heartbeats,
            TimerService timers,
            Random random) {
        this.self = self;
        this.repository = repository;
        this.watcher = watcher;
        this.replicator = replicator;
        this.terminated = terminated;
        this.heartbeats = heartbeats;
        this.timers = timers;
        this.random = random;
    }

    /** Registers this incarnation with its bound peer port and joins. */
    void start(int peerPort) {
        self = self.withPeerPort(peerPort);
        Completable registration = Completable.defer(() -> terminated.register(self))
                .onErrorResumeNext(cause -> timers.after(INITIAL_JOIN_BACKOFF).andThen(Completable.error(cause)))
                .retry();
        subscription = Optional.of(
                registration.andThen(join(0)).andThen(removeTerminatedMembers()).subscribe());
    }

    void stop() {
        subscription.ifPresent(Disposable::dispose);
    }

    /** Removes this incarnation from the members. The caller must first stop serving routes that require an API key. */
    Completable leave() {
        stop();
        return changeMembership(snapshot -> snapshot.memberSet().contains(self.incarnation())
                ? Optional.of(DocumentChange.remove(DocumentKind.MEMBER, self.incarnation()))
                : Optional.empty());
    }

    private Completable join(int attempts) {
        return Completable.defer(
                        () -> changeMembership(snapshot -> snapshot.memberSet().contains(self.incarnation())
                                ? Optional.empty()
                                : Optional.of(DocumentChange.put(new MemberDocument(self)))))
                .onErrorResumeNext(cause -> {
                    LOG.infof("event=join_postponed instance=%s cause=\"%s\"", self.instance(), cause.getMessage());
                    return timers.after(joinBackoff(attempts)).andThen(Completable.defer(() -> join(attempts + 1)));
                });
    }

    private Completable removeTerminatedMembers() {
        return Flowable.defer(() -> timers.after(jittered(REMOVAL_PERIOD))
                        .andThen(Completable.defer(this::removeOneTerminatedMember)
                                .onErrorComplete())
                        .toFlowable())
                .repeat()
                .ignoreElements();
    }

    /** Removes one terminated member, if this is the first live member by rendezvous hashing. */
    private Completable removeOneTerminatedMember() {
        List<Member> live = heartbeats.liveMembers();
        boolean responsible = RendezvousHashing.rank(live, REMOVAL_HASH_KEY, 1).stream()
                .anyMatch(member -> member.incarnation().equals(self.incarnation()));
        if (!responsible) {
            return Completable.complete();
        }
        List<Member> unresponsive = watcher.snapshot().memberSet().members().stream()
                .filter(member -> !live.contains(member))
                .toList();
        return terminated.refresh(unresponsive).andThen(Completable.defer(() -> {
            List<Member> members = watcher.snapshot().memberSet().members();
            terminated.retain(members.stream().map(Member::incarnation).collect(Collectors.toSet()));
            heartbeats.updateTerminated(terminated.incarnations());
            boolean anyTerminated = members.stream().anyMatch(member -> terminated.contains(member.incarnation()));
            return anyTerminated ? changeMembership(this::removeFirstTerminated) : Completable.complete();
        }));
    }

    private Optional<DocumentChange> removeFirstTerminated(ConfigurationSnapshot snapshot) {
        return snapshot.memberSet().members().stream()
                .map(Member::incarnation)
                .filter(terminated::contains)
                .findFirst()
                .map(incarnation -> DocumentChange.remove(DocumentKind.MEMBER, incarnation));
    }

    /** Makes one membership change once a majority holds the previous one. */
    private Completable changeMembership(ChangeSelector selector) {
        return watcher.refresh().andThen(Completable.defer(() -> {
            ConfigurationSnapshot base = watcher.snapshot();
            if (selector.select(base).isEmpty()) {
                return Completable.complete();
            }
            ChangeAcknowledgement previous =
                    ChangeAcknowledgement.begin(base.membershipVersion(), base.memberSet(), 0, 0, 0);
            return replicator
                    .replicateUntil(previous, ChangeAcknowledgement::hasMajority, MAJORITY_TIMEOUT)
                    .flatMapCompletable(state -> commit(base, selector, state));
        }));
    }

    private Completable commit(ConfigurationSnapshot base, ChangeSelector selector, ChangeAcknowledgement previous) {
        ConfigurationSnapshot current = watcher.snapshot();
        boolean sameMembers = current.membershipVersion() == base.membershipVersion();
        Optional<DocumentChange> change = selector.select(current);
        if (change.isEmpty()) {
            return Completable.complete();
        }
        if (!previous.hasMajority() || !sameMembers) {
            return Completable.error(new FireflywalkException(
                    ErrorKind.VERSION_CONFLICT, "the last membership change is not settled", "membership"));
        }
        List<DocumentChange> changes = List.of(change.get());
        long version = current.version() + 1;
        ChangeRecord entry = new ChangeRecord(
                version,
                self.instance(),
                "membership",
                timers.wallClockMilliseconds(),
                DocumentCodec.toMessages(changes));
        return repository
                .commit(UUID.randomUUID().toString(), current.version(), changes, entry)
                .observeOn(timers.scheduler())
                .flatMapCompletable(committed -> {
                    if (!committed) {
                        return Completable.error(new FireflywalkException(
                                ErrorKind.VERSION_CONFLICT, "another change came first", "membership"));
                    }
                    watcher.applyEntries(List.of(entry));
                    LOG.infof(
                            "event=membership_changed version=%d change=\"%s\"",
                            version, change.get().name());
                    return replicateToMajority(version);
                });
    }

    private Completable replicateToMajority(long version) {
        ConfigurationSnapshot current = watcher.snapshot();
        ChangeAcknowledgement state = ChangeAcknowledgement.begin(version, current.memberSet(), 0, 0, 0);
        return Single.defer(
                        () -> replicator.replicateUntil(state, ChangeAcknowledgement::hasMajority, MAJORITY_TIMEOUT))
                .ignoreElement();
    }

    private Duration joinBackoff(int attempts) {
        long bound = Math.min(
                INITIAL_JOIN_BACKOFF.toNanos() << Math.min(attempts, MAXIMUM_BACKOFF_DOUBLINGS),
                MAXIMUM_JOIN_BACKOFF.toNanos());
        return jittered(Duration.ofNanos(bound));
    }

    private Duration jittered(Duration duration) {
        return Duration.ofNanos((long) (duration.toNanos() * (0.5 + random.nextDouble() / 2)));
    }

    /** Returns the change to make to a snapshot; empty if none is needed. */
    @FunctionalInterface
    private interface ChangeSelector {
        Optional<DocumentChange> select(ConfigurationSnapshot snapshot);
    }
}
