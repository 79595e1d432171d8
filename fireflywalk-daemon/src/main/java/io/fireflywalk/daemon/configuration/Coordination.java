package io.fireflywalk.daemon.configuration;

import io.fireflywalk.core.configuration.ChangeAcknowledgement;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.daemon.peer.DigestExchange;
import io.fireflywalk.daemon.peer.HeartbeatService;
import io.fireflywalk.daemon.peer.PeerCalls;
import io.fireflywalk.daemon.peer.PeerParts;
import io.fireflywalk.daemon.peer.PeerTransport;
import io.fireflywalk.services.configuration.ConfigurationRepository;
import io.fireflywalk.services.instance.InstanceList;
import io.fireflywalk.services.table.MarkerCollector;
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
 * What makes the instances act as one system: the configuration in force, its freshness, the members and their
 * heartbeats and digests. Confined to one event loop.
 */
public final class Coordination {
    /**
     * Bound of the difference between the rate of any instance's monotonic clock and true time. Crystal oscillators
     * stay below 0.02%; the clock-slewing of time daemons adds at most 0.05%.
     */
    static final double CLOCK_RATE_BOUND = 0.01;

    private static final Duration ACKNOWLEDGEMENT_MARGIN = Duration.ofSeconds(3);
    /** The platform executes no request later than this after it was sent (docs/decisions/001). */
    private static final Duration MARKER_RETENTION = Duration.ofMinutes(2);

    private static final Duration MARKER_SWEEP_PERIOD = Duration.ofSeconds(30);
    /** About 5 MB; at this bound 400 markers a second are removed in the long run. */
    private static final int MAXIMUM_TRACKED_MARKERS = 50_000;

    private static final int DIRECT_PULL_MEMBERS = 16;
    private static final Duration LEAVE_LIMIT = Duration.ofSeconds(4);

    private final Member self;
    private final TimerService timers;
    private final Random random;
    private final Duration freshnessLimit;
    private final ConfigurationRepository repository;
    private final ConfigurationWatcher watcher;
    private final FreshnessGuard guard;
    private final ConfigurationExchange exchange;
    private final PeerParts peers;
    private final MembershipService membership;
    private final MarkerCollector markers;
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
        this.markers = new MarkerCollector(tables, timers, MARKER_RETENTION, MAXIMUM_TRACKED_MARKERS);
        this.watcher = new ConfigurationWatcher(repository, timers, pollPeriod, random);
        this.guard = new FreshnessGuard(watcher, timers, self.incarnation(), freshnessLimit);
        EndedRuns ended = new EndedRuns(tables, instances, timers);
        this.exchange = new ConfigurationExchange(self, watcher, ended, transport, timers);
        this.peers =
                new PeerParts(self, watcher::snapshot, transport, timers, random, guard::majorityHeld, this::pullFrom);
        this.membership =
                new MembershipService(self, repository, watcher, exchange, ended, peers.heartbeats(), timers, random);
    }

    /** Adds the calls that peers may make; before the peer server listens. */
    public void register(PeerCalls calls) {
        exchange.register(calls);
        peers.register(calls);
    }

    /** Starts to follow the configuration, to join the members and to exchange heartbeats. */
    public void start(int peerPort) {
        watcher.start();
        peers.start();
        membership.start(peerPort);
        // One instance sweeps at a time: the one that coordinates the heartbeats.
        markerSweeps = Optional.of(timers.every(MARKER_SWEEP_PERIOD)
                .filter(tick -> peers.heartbeats().isCoordinating())
                .concatMapCompletable(tick -> markers.sweep().ignoreElement().onErrorComplete())
                .subscribe());
    }

    /** Ends service of keyed routes and removes this run from the members, within a bound. */
    public Completable leave() {
        guard.stop();
        return membership.leave().onErrorComplete().ambWith(timers.after(LEAVE_LIMIT));
    }

    /** Stops all loops, without leaving. */
    public void stop() {
        markerSweeps.ifPresent(Disposable::dispose);
        membership.stop();
        peers.stop();
        watcher.stop();
    }

    /** Returns the snapshot in force. */
    public ConfigurationSnapshot snapshot() {
        return watcher.snapshot();
    }

    /** Tells whether a request with a key may be admitted now. */
    public boolean mayServeKeyedRoutes() {
        return guard.mayServeKeyedRoutes();
    }

    /** Returns the follower of the configuration. */
    public ConfigurationWatcher watcher() {
        return watcher;
    }

    /** Returns the configuration in the table service. */
    public ConfigurationRepository repository() {
        return repository;
    }

    /** Returns the freshness of the configuration. */
    public FreshnessGuard guard() {
        return guard;
    }

    /** Returns the heartbeats, which tell the live members. */
    public HeartbeatService heartbeats() {
        return peers.heartbeats();
    }

    /** Returns the exchange of load and usage digests. */
    public DigestExchange digests() {
        return peers.digests();
    }

    /** Emits true once no instance serves keyed routes from a version before the snapshot's; false if time is over. */
    public Single<Boolean> acknowledged(ConfigurationSnapshot committed) {
        ChangeAcknowledgement start = ChangeAcknowledgement.begin(
                committed.version(),
                committed.memberSet(),
                freshnessLimit.toNanos(),
                CLOCK_RATE_BOUND,
                timers.monotonicNanoseconds());
        Duration limit = freshnessLimit.multipliedBy(2).plus(ACKNOWLEDGEMENT_MARGIN);
        return exchange.settle(start, state -> state.isAcknowledged(timers.monotonicNanoseconds()), limit)
                .map(state -> state.isAcknowledged(timers.monotonicNanoseconds()));
    }

    /** In large fleets a random live member is asked, so that the coordinator does not serve all that lag. */
    private void pullFrom(String coordinator) {
        List<Member> live = peers.heartbeats().liveMembers().stream()
                .filter(member -> !member.incarnation().equals(self.incarnation()))
                .toList();
        if (live.isEmpty()) {
            return;
        }
        Member any = live.get(random.nextInt(live.size()));
        boolean direct = live.size() < DIRECT_PULL_MEMBERS;
        Member chosen = direct ? snapshot().memberSet().member(coordinator).orElse(any) : any;
        exchange.pullFrom(chosen);
    }
}
