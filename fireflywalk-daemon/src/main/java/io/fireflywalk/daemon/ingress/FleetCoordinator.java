package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.store.FencingTokens;
import io.fireflywalk.daemon.ingress.ControlPlane.LeaseHolder;
import io.fireflywalk.daemon.ingress.CoordinationRows.LeaseRow;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.daemon.ingress.FleetStore.RowTransaction;
import io.fireflywalk.daemon.ingress.FleetStore.Table;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Tracks the live instances by their heartbeat rows, and acquires and renews the lease of usage reporting and scaling.
 * The lease is a row that is written by compare-and-set on its version and whose fencing token only grows. Confined to
 * one event loop.
 *
 * <p>When the store returns from an older copy, the lease of the earlier era ends and the row says nothing about who
 * held it last. Every instance then waits for a whole term, except for the holder of a lease that is still valid, which
 * no other instance can have taken over yet.
 */
final class FleetCoordinator implements TableWatcher.Listener {
    private static final Logger LOG = Logger.getLogger(FleetCoordinator.class);
    private static final String MEMBER_PREFIX = "member/";
    private static final String LEASE_KEY = "lease/usage";
    private static final Duration POLL_INTERVAL = Duration.ofMillis(1500);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(12);
    /** Heartbeats of a larger fleet are half as frequent, because each is a call to the store. */
    private static final int LARGE_FLEET_INSTANCES = 17;
    /** An instance that has sent no heartbeat for two and a half intervals is considered gone. */
    private static final double HEARTBEAT_TIMEOUT_INTERVALS = 2.5;

    /** Longest outage of the store in which the number of instances still counts as known. */
    private static final Duration COUNTING_INTERVAL = Duration.ofSeconds(15);

    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);
    /** Interval at which an instance checks whether it renews the lease or takes it over. */
    private static final Duration LEASE_CHECK_INTERVAL = Duration.ofMillis(250);
    /** Taken off the lease by its holder, to allow for the duration of a call and for clock drift. */
    private static final Duration HOLDER_SAFETY_MARGIN = Duration.ofMillis(400);
    /** Added to the lease before another instance takes over, to allow for the age of polled rows. */
    private static final Duration TAKEOVER_MARGIN = Duration.ofMillis(500);

    /** Time in which calls that were sent under a lease arrive. */
    private static final Duration RELEASE_DELAY = Duration.ofMillis(500);

    private static final int MAXIMUM_MEMBERS = 4096;
    /** Spreads the writes of instances that have seen a change of the store's era. */
    private static final Duration MAXIMUM_REWRITE_DELAY = Duration.ofSeconds(1);

    private final IngressSettings settings;
    private final FleetStore store;
    private final TimerService timers;
    private final RandomGenerator random;
    private final TableWatcher watcher;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Consumer<FleetRow>> rowHandlers = new HashMap<>();
    private final List<Runnable> eraListeners = new ArrayList<>();
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private final SerialDisposable nextHeartbeat = new SerialDisposable();
    private LeaseRow observedLease = LeaseRow.NONE;
    private long leaseObservedAt;
    private Optional<HeldLease> heldLease = Optional.empty();
    private Optional<Long> firstHeartbeatAt = Optional.empty();
    private long lastHeartbeatSentAt;
    private boolean leaseWriteInFlight;
    private boolean resigned;
    /** Time until which the holder of the previous era's lease may take over again without a wait. */
    private long reacquisitionEndsAt = Long.MIN_VALUE;

    private Optional<Long> eraChangeSeenAt = Optional.empty();
    private long earliestAcquisitionAt;
    private long leaseWrittenAt = Long.MIN_VALUE / 2;
    /** Highest fencing token that this process has written or tried to write. */
    private long ownToken;

    /** An instance and the time of its latest heartbeat. */
    private record Member(Peer peer, long lastHeartbeatAt) {}

    /** Address of another instance. */
    record Peer(String name, String availabilityZone, String host, int port) {}

    /** Lease held by this process; its term starts when the latest renewal was sent. */
    private record HeldLease(long token, long version, long sentAt) {}

    FleetCoordinator(IngressSettings settings, FleetStore store, TimerService timers, RandomGenerator random) {
        this.settings = settings;
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.watcher = new TableWatcher(store, Table.COORDINATION, timers, random, POLL_INTERVAL, Duration.ZERO, this);
        this.leaseObservedAt = timers.monotonicNanoseconds();
    }

    /** Sets the handler of the table's other rows whose keys begin with the prefix. */
    void onRows(String prefix, Consumer<FleetRow> handler) {
        rowHandlers.put(prefix, handler);
    }

    /** Adds a listener of changes of the store's era, which runs before the rows of the new era are handled. */
    void onEraChanged(Runnable listener) {
        eraListeners.add(listener);
    }

    void start() {
        watcher.start();
        writeHeartbeat();
        // Instances that start together must not write together ever after: each row is relayed to a whole zone.
        continueHeartbeats(Duration.ofMillis(random.nextLong(HEARTBEAT_INTERVAL.toMillis())));
        subscriptions.add(timers.repeat(LEASE_CHECK_INTERVAL, "lease", this::maintainLease));
    }

    /** Stops and removes this instance's heartbeat row. */
    void stop() {
        subscriptions.dispose();
        nextHeartbeat.dispose();
        watcher.stop();
        var unused = store.commit(RowTransaction.empty()
                        .withRemoval(
                                Table.COORDINATION,
                                MEMBER_PREFIX + settings.instance().name()))
                .subscribe(
                        done -> {}, cause -> LOG.debugf("event=member_not_removed cause=\"%s\"", cause.getMessage()));
    }

    /** Returns the number of live instances, this one included. */
    int instanceCount() {
        removeExpiredMembers();
        return Math.max(1, members.size());
    }

    /** Returns the names of the live instances, according to the store. */
    Set<String> instanceNames() {
        removeExpiredMembers();
        return Set.copyOf(members.keySet());
    }

    /** Returns the other instances. */
    List<Peer> peers() {
        removeExpiredMembers();
        return members.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(settings.instance().name()))
                .map(entry -> entry.getValue().peer())
                .toList();
    }

    /** Returns the other instance that holds the lease according to the store; empty if none does. */
    Optional<Peer> leaseHolder() {
        return Optional.ofNullable(members.get(observedLease.holder()))
                .map(Member::peer)
                .filter(peer -> !peer.name().equals(settings.instance().name()));
    }

    /**
     * Tells whether every instance for which this holds counts this one as live: each has read the members within {@link
     * #COUNTING_INTERVAL}, and this one has been a member for longer and will not expire earlier.
     */
    boolean isCountedByAll() {
        long now = timers.monotonicNanoseconds();
        return firstHeartbeatAt
                        .filter(first -> now - first
                                > COUNTING_INTERVAL.multipliedBy(4).dividedBy(3).toNanos())
                        .isPresent()
                && now - lastHeartbeatSentAt
                        < (HEARTBEAT_TIMEOUT_INTERVALS - 1)
                                * heartbeatInterval().toNanos()
                && watcher.timeSinceLastResponse().compareTo(COUNTING_INTERVAL) < 0;
    }

    /**
     * Returns the time of the wall clock at which this process has learned last that the store returned from an older
     * copy; empty if it knows of no return.
     */
    Optional<Long> eraChangeSeenAt() {
        return eraChangeSeenAt;
    }

    /** Returns the watcher of the members and the lease. */
    TableWatcher watcher() {
        return watcher;
    }

    /** Returns the fencing token if this process currently holds the lease. */
    Optional<Long> fencingToken() {
        long now = timers.monotonicNanoseconds();
        return heldLease
                .filter(lease -> now - lease.sentAt() < leaseNanoseconds() - HOLDER_SAFETY_MARGIN.toNanos())
                .map(HeldLease::token);
    }

    /** Returns this instance as the holder of the lease with the fencing token. */
    LeaseHolder holder(long token) {
        return new LeaseHolder(
                settings.instance().name(),
                token,
                () -> fencingToken().filter(current -> current == token).isPresent());
    }

    /** Gives up the lease because a call was rejected in favour of a newer holder. */
    void relinquishLease() {
        LOG.infof(
                "event=lease_lost cause=\"a newer fencing token is in use\" token=%d",
                heldLease.map(HeldLease::token).orElse(0L));
        heldLease = Optional.empty();
        earliestAcquisitionAt = timers.monotonicNanoseconds() + 2 * leaseNanoseconds();
    }

    /**
     * Gives up the lease for good, and releases it once the calls that are under way have arrived, so that another
     * instance takes it over without waiting until it lapses.
     */
    void resign() {
        resigned = true;
        heldLease.filter(held -> fencingToken().isPresent()).ifPresent(this::release);
        heldLease = Optional.empty();
    }

    private void release(HeldLease held) {
        Optional<Long> era = watcher.era();
        subscriptions.add(timers.after(RELEASE_DELAY)
                .andThen(Single.defer(() -> {
                    if (!watcher.isInCurrentEra() || !watcher.era().equals(era)) {
                        throw new FireflywalkException(
                                ErrorKind.STORE_UNAVAILABLE, "the lease is of an earlier era", LEASE_KEY);
                    }
                    return store.commit(leaseWrite(CoordinationRows.NO_HOLDER, held.token(), held.version()));
                }))
                .subscribe(
                        result -> LOG.infof(
                                "event=lease_released token=%d released=%s", held.token(), result.committed()),
                        cause -> LOG.warnf(
                                "event=lease_not_released token=%d cause=\"%s\"", held.token(), cause.getMessage())));
    }

    private long leaseNanoseconds() {
        return Duration.ofMillis(settings.bounds().leaseMilliseconds()).toNanos();
    }

    // Members

    private Duration heartbeatInterval() {
        return members.size() < LARGE_FLEET_INSTANCES ? HEARTBEAT_INTERVAL : HEARTBEAT_INTERVAL.multipliedBy(2);
    }

    private void continueHeartbeats(Duration delay) {
        nextHeartbeat.set(timers.after(delay).subscribe(() -> {
            writeHeartbeat();
            continueHeartbeats(heartbeatInterval());
        }));
    }

    private void writeHeartbeat() {
        long sentAt = timers.monotonicNanoseconds();
        subscriptions.add(store.commit(RowTransaction.empty()
                        .withWrite(
                                Table.COORDINATION,
                                MEMBER_PREFIX + settings.instance().name(),
                                CoordinationRows.encodeMember(settings, timers.wallClockMilliseconds())))
                .subscribe(
                        done -> {
                            firstHeartbeatAt = Optional.of(firstHeartbeatAt.orElse(timers.monotonicNanoseconds()));
                            lastHeartbeatSentAt = sentAt;
                        },
                        cause -> LOG.debugf("event=member_not_written cause=\"%s\"", cause.getMessage())));
    }

    private void removeExpiredMembers() {
        long now = timers.monotonicNanoseconds();
        if (watcher.timeSinceLastResponse().compareTo(POLL_INTERVAL.multipliedBy(3)) < 0) {
            double timeout = HEARTBEAT_TIMEOUT_INTERVALS * heartbeatInterval().toNanos();
            members.values().removeIf(member -> now - member.lastHeartbeatAt() > timeout);
        }
    }

    @Override
    public void onEraChanged() {
        long now = timers.monotonicNanoseconds();
        LOG.warnf(
                "event=lease_lost cause=\"the store's era has changed\" token=%d held=%s observed_holder=%s"
                        + " observed_token=%d",
                heldLease.map(HeldLease::token).orElse(0L),
                fencingToken().isPresent(),
                observedLease.holder(),
                observedLease.token());
        if (fencingToken().isPresent()) {
            reacquisitionEndsAt = heldLease.get().sentAt() + leaseNanoseconds() - HOLDER_SAFETY_MARGIN.toNanos();
        }
        heldLease = Optional.empty();
        observedLease = LeaseRow.NONE;
        leaseObservedAt = now;
        eraChangeSeenAt = Optional.of(timers.wallClockMilliseconds());
        ownToken = 0;
        eraListeners.forEach(Runnable::run);
        // The copy may lack this instance, which instances that have just started would then not know.
        subscriptions.add(timers.after(Duration.ofMillis(random.nextLong(MAXIMUM_REWRITE_DELAY.toMillis())))
                .subscribe(this::writeHeartbeat));
    }

    @Override
    public void onSnapshot(List<FleetRow> rows) {
        onChanges(rows);
        boolean leaseOfEarlierEra =
                observedLease.era() > 0 && observedLease.era() < watcher.era().orElse(0L);
        if (eraChangeSeenAt.isEmpty() && leaseOfEarlierEra) {
            // The store has returned before this process has started.
            eraChangeSeenAt = Optional.of(timers.wallClockMilliseconds());
        }
    }

    @Override
    public void onChanges(List<FleetRow> rows) {
        for (FleetRow row : rows) {
            if (row.key().startsWith(MEMBER_PREFIX)) {
                onHeartbeatRow(row);
            } else if (row.key().equals(LEASE_KEY) && row.version() > observedLease.version()) {
                onLeaseRow(row);
            } else {
                rowHandlers.forEach((prefix, handler) -> {
                    if (row.key().startsWith(prefix)) {
                        handler.accept(row);
                    }
                });
            }
        }
    }

    private void onHeartbeatRow(FleetRow row) {
        String name = row.key().substring(MEMBER_PREFIX.length());
        if (row.value().isEmpty()) {
            members.remove(name);
        } else if (members.containsKey(name) || members.size() < MAXIMUM_MEMBERS) {
            CoordinationRows.decodeMember(name, row)
                    .ifPresent(peer -> members.put(name, new Member(peer, timers.monotonicNanoseconds())));
        }
    }

    // Lease

    private void onLeaseRow(FleetRow row) {
        Optional<LeaseRow> decoded = CoordinationRows.decodeLease(row);
        if (decoded.isEmpty()) {
            return;
        }
        observedLease = decoded.get();
        leaseObservedAt = timers.monotonicNanoseconds();
        if (heldLease.isPresent() && observedLease.version() > heldLease.get().version() && !leaseWriteInFlight) {
            if (!observedLease.holder().equals(settings.instance().name())
                    || observedLease.token() != heldLease.get().token()) {
                LOG.infof(
                        "event=lease_lost holder=%s token=%d own_token=%d",
                        observedLease.holder(),
                        observedLease.token(),
                        heldLease.get().token());
                heldLease = Optional.empty();
            }
        }
    }

    private void maintainLease() {
        if (!watcher.loaded() || leaseWriteInFlight || resigned) {
            return;
        }
        if (!watcher.isInCurrentEra()) {
            // The versions on whose condition the lease would be written belong to another era.
            watcher.pollNow();
            return;
        }
        long now = timers.monotonicNanoseconds();
        if (heldLease.isPresent()) {
            renewLease(heldLease.get(), now);
        } else if (mayTakeOver(now)
                && now >= earliestAcquisitionAt
                && watcher.timeSinceLastResponse().compareTo(POLL_INTERVAL.multipliedBy(2)) < 0) {
            long token = FencingTokens.ofTakeover(watcher.era(), observedLease.token(), observedLease.version());
            writeLease(token, observedLease.version(), true);
        }
    }

    private void renewLease(HeldLease lease, long now) {
        if (now - lease.sentAt() > leaseNanoseconds()) {
            // Another process may hold it by now, which the row will show.
            LOG.infof("event=lease_lost cause=\"not renewed in time\" token=%d", lease.token());
            heldLease = Optional.empty();
            leaseObservedAt = now;
        } else if (now - leaseWrittenAt >= RENEWAL_INTERVAL.toNanos()) {
            writeLease(lease.token(), lease.version(), false);
        }
    }

    /**
     * Tells whether the lease may be free. A lease that this process let lapse is still its own if the row says so: the
     * write fails if another process has changed the row meanwhile.
     */
    private boolean mayTakeOver(long now) {
        if (now < reacquisitionEndsAt) {
            return true;
        }
        // A release that the copy shows may have been followed by a takeover that is gone.
        boolean released = observedLease.isReleasedIn(watcher.era());
        boolean ownLapsed = ownToken > 0
                && observedLease.holder().equals(settings.instance().name())
                && observedLease.token() == ownToken;
        // Jitter keeps instances that see the same expiry from all writing at once.
        long jitter = random.nextLong(Duration.ofMillis(400).toNanos());
        return released || ownLapsed || now - leaseObservedAt > leaseNanoseconds() + TAKEOVER_MARGIN.toNanos() + jitter;
    }

    private RowTransaction leaseWrite(String holder, long token, long version) {
        return RowTransaction.empty()
                .withPrecondition(Table.COORDINATION, LEASE_KEY, version)
                .withWrite(Table.COORDINATION, LEASE_KEY, CoordinationRows.encodeLease(holder, token, watcher.era()));
    }

    private void writeLease(long token, long version, boolean takeover) {
        leaseWriteInFlight = true;
        long sentAt = timers.monotonicNanoseconds();
        Optional<Long> era = watcher.era();
        leaseWrittenAt = sentAt;
        ownToken = token;
        subscriptions.add(store.commit(leaseWrite(settings.instance().name(), token, version))
                .subscribe(
                        result -> {
                            leaseWriteInFlight = false;
                            reacquisitionEndsAt = Long.MIN_VALUE;
                            if (!watcher.era().equals(era)) {
                                // The rows of the new era show what became of the write.
                                LOG.infof("event=lease_write_outdated token=%d takeover=%s", token, takeover);
                            } else if (!result.committed()) {
                                onLeaseWriteRejected(takeover);
                            } else if (!resigned) {
                                heldLease = Optional.of(new HeldLease(token, result.version(), sentAt));
                                if (takeover) {
                                    LOG.infof(
                                            "event=lease_acquired token=%d previous=%s", token, observedLease.holder());
                                }
                            }
                        },
                        cause -> {
                            leaseWriteInFlight = false;
                            // The write may still take effect, which the row will show; a takeover waits a full term
                            // unless the row names this process.
                            LOG.warnf(
                                    "event=lease_write_failed token=%d takeover=%s cause=\"%s\"",
                                    token, takeover, cause.getMessage());
                            if (takeover) {
                                leaseObservedAt = timers.monotonicNanoseconds();
                            } else {
                                reloadLease();
                            }
                        }));
    }

    private void onLeaseWriteRejected(boolean takeover) {
        if (!takeover) {
            LOG.infof(
                    "event=lease_lost cause=\"the lease row was changed by another process\" token=%d",
                    heldLease.map(HeldLease::token).orElse(0L));
        }
        heldLease = Optional.empty();
        leaseObservedAt = timers.monotonicNanoseconds();
    }

    /** Reads the lease row after a renewal of unknown outcome, so that the next renewal expects the right version. */
    private void reloadLease() {
        subscriptions.add(store.read(Table.COORDINATION, LEASE_KEY, LEASE_KEY + '\0', 1)
                .subscribe(
                        page -> page.rows().stream()
                                .filter(row -> watcher.isInCurrentEra())
                                .forEach(row -> {
                                    if (row.version() > observedLease.version()) {
                                        onLeaseRow(row);
                                    }
                                    heldLease = heldLease
                                            .filter(lease -> observedLease.token() == lease.token())
                                            .map(lease -> new HeldLease(lease.token(), row.version(), lease.sentAt()));
                                }),
                        cause -> LOG.debugf("event=lease_not_read cause=\"%s\"", cause.getMessage())));
    }
}
