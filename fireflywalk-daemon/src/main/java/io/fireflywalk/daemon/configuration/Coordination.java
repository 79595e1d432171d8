package io.fireflywalk.daemon.configuration;

import io.fireflywalk.core.configuration.ChangeAcknowledgement;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.daemon.peer.GossipExchange;
import io.fireflywalk.daemon.peer.HeartbeatService;
import io.fireflywalk.daemon.peer.PeerComponents;
import io.fireflywalk.daemon.peer.PeerHandlerRegistry;
import io.fireflywalk.daemon.peer.PeerTransport;
import io.fireflywalk.services.configuration.ConfigurationRepository;
import io.fireflywalk.services.instance.InstanceList;
import io.fireflywalk.services.table.MarkerGarbageCollector;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Coordinates this instance with the rest of the fleet: active configuration and its freshness, membership,
 * heartbeats, and gossip of load and usage digests. Confined to one event loop.
 */
public final class Coordination {
    /**
     * Maximum drift rate of any instance's monotonic clock. Crystal oscillators drift by less than 0.02%, and slewing
     * by a time daemon adds at most 0.05%.
     */
    static final double MAXIMUM_CLOCK_DRIFT_RATE = 0.01;

    private static final Duration ACKNOWLEDGEMENT_MARGIN = Duration.ofSeconds(3);
    /** The platform executes no request later than this after it was sent; see docs/decisions/001. */
    private static final Duration MARKER_RETENTION = Duration.ofMinutes(2);

    private static final Duration MARKER_SWEEP_PERIOD = Duration.ofSeconds(30);
    /** Takes about 5 MB and sustains the removal of 400 markers per second. */
    private static final int MAXIMUM_TRACKED_MARKERS = 50_000;

    private static final int DIRECT_PULL_FLEET_SIZE = 16;
    private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(4);

    private final Member self;
    private final TimerService timers;
    private final Random random;
    private final Duration freshnessLimit;
    private final ConfigurationRepository repository;
    private final ConfigurationWatcher watcher;
    private final FreshnessGuard guard;
    private final ConfigurationReplicator replicator;
    private final PeerComponents peers;
    private final MembershipService membership;
    private final MarkerGarbageCollector markerCollector;
    private Optional<Disposable> markerSweeps = Optional.empty();

    public Coordination(
            Member self,
            TableService tables,
            InstanceList instances,
            PeerTransport transport,
            TimerService timers,
            Random random,
            Duration pollPeriod,
            Duration freshnessLimit) {
        this.self = self;
        this.timers = timers;
        this.random = random;
        this.freshnessLimit = freshnessLimit;
        this.repository = new ConfigurationRepository(tables);
        this.markerCollector = new MarkerGarbageCollector(tables, timers, MARKER_RETENTION, MAXIMUM_TRACKED_MARKERS);
        this.watcher = new ConfigurationWatcher(repository, timers, pollPeriod, random);
        this.guard = new FreshnessGuard(watcher, timers, self.incarnation(), freshnessLimit);
        TerminatedIncarnations terminated = new TerminatedIncarnations(tables, instances, timers);
        this.replicator = new ConfigurationReplicator(self, watcher, terminated, transport, timers);
        this.peers = new PeerComponents(
                self, watcher::snapshot, transport, timers, random, guard::recordMajorityCheck, this::pullFrom);
        this.membership = new MembershipService(
                self, repository, watcher, replicator, terminated, peers.heartbeats(), timers, random);
    }

    /** Registers the handlers of peer calls; must be called before the peer server listens. */
    public void register(PeerHandlerRegistry registry) {
        replicator.register(registry);
        peers.register(registry);
    }

    /** Starts polling the configuration and exchanging heartbeats, and joins the membership. */
    public void start(int peerPort) {
        watcher.start();
        peers.start();
        membership.start(peerPort);
        // Only the heartbeat coordinator sweeps, so that usually one instance at a time does.
        markerSweeps = Optional.of(timers.every(MARKER_SWEEP_PERIOD)
                .filter(tick -> peers.heartbeats().isCoordinating())
                .concatMapCompletable(
                        tick -> markerCollector.sweep().ignoreElement().onErrorComplete())
                .subscribe());
    }

    /** Stops serving routes that require an API key and leaves the membership, within a time limit. */
    public Completable leave() {
        guard.stop();
        return membership.leave().onErrorComplete().ambWith(timers.after(LEAVE_TIMEOUT));
    }

    /** Stops all periodic tasks without leaving the membership. */
    public void stop() {
        markerSweeps.ifPresent(Disposable::dispose);
        membership.stop();
        peers.stop();
        watcher.stop();
    }

    /** Returns the active snapshot. */
    public ConfigurationSnapshot snapshot() {
        return watcher.snapshot();
    }

    /** Returns whether requests with an API key may be admitted now. */
    public boolean mayServeAuthenticatedRoutes() {
        return guard.mayServeAuthenticatedRoutes();
    }

    public ConfigurationWatcher watcher() {
        return watcher;
    }

    public ConfigurationRepository repository() {
        return repository;
    }

    public FreshnessGuard guard() {
        return guard;
    }

    /** Returns the heartbeat service, which tracks the live members. */
    public HeartbeatService heartbeats() {
        return peers.heartbeats();
    }

    /** Returns the gossip of load and usage digests. */
    public GossipExchange gossip() {
        return peers.gossip();
    }

    /**
     * Emits true once no instance serves routes that require an API key from a version older than the snapshot's, or
     * false on timeout.
     */
    public Single<Boolean> awaitAcknowledgement(ConfigurationSnapshot committed) {
        ChangeAcknowledgement start = ChangeAcknowledgement.begin(
                committed.version(),
                committed.memberSet(),
                freshnessLimit.toNanos(),
                MAXIMUM_CLOCK_DRIFT_RATE,
                timers.monotonicNanoseconds());
        Duration timeout = freshnessLimit.multipliedBy(2).plus(ACKNOWLEDGEMENT_MARGIN);
        return replicator
                .replicateUntil(start, state -> state.isAcknowledged(timers.monotonicNanoseconds()), timeout)
                .map(state -> state.isAcknowledged(timers.monotonicNanoseconds()));
    }

    /** In large fleets, pulls from a random live member, so that the coordinator does not serve all lagging members. */
    private void pullFrom(String coordinatorIncarnation) {
        List<Member> live = peers.heartbeats().liveMembers().stream()
                .filter(member -> !member.incarnation().equals(self.incarnation()))
                .toList();
        if (live.isEmpty()) {
            return;
        }
        Member randomMember = live.get(random.nextInt(live.size()));
        boolean direct = live.size() < DIRECT_PULL_FLEET_SIZE;
        Member source =
                direct ? snapshot().memberSet().member(coordinatorIncarnation).orElse(randomMember) : randomMember;
        replicator.pullFrom(source);
    }
}
