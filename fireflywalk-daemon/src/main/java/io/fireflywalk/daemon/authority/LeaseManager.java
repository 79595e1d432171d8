package io.fireflywalk.daemon.authority;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.lease.HeldLease;
import io.fireflywalk.core.lease.LeaseRecord;
import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.core.lease.ObservedLease;
import io.fireflywalk.core.membership.RendezvousHashing;
import io.fireflywalk.daemon.authority.LeaseStore.LeaseWrite;
import io.fireflywalk.daemon.authority.LeaseStore.StoredLease;
import io.fireflywalk.services.table.TableService;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Acquires, renews, observes and releases leases. One transaction renews all leases of the process; one scan, or
 * a few reads by key, observes all units that it is a candidate for. Confined to one event loop.
 */
public final class LeaseManager implements AuthorityService {
    private static final Logger LOG = Logger.getLogger(LeaseManager.class);
    private static final int CANDIDATES_PER_UNIT = 3;
    private static final Duration IN_FLIGHT_POLL_PERIOD = Duration.ofMillis(20);

    private final String incarnation;
    private final AuthoritySettings settings;
    private final LeaseStore store;
    private final TimerService timers;
    private final MetricRegistry metrics;
    private final Supplier<List<LeaseUnit>> units;
    private final Supplier<List<String>> members;
    private final JitteredLoop renewalLoop;
    private final JitteredLoop observationLoop;
    private final Map<LeaseUnit, HeldLease> leases = new LinkedHashMap<>();
    private final Map<LeaseUnit, ObservedLease> observed = new LinkedHashMap<>();
    private final Map<LeaseUnit, Long> notCandidateSince = new LinkedHashMap<>();
    private final List<LeaseTask> tasks = new ArrayList<>();
    private final InFlightRequests inFlightRequests;
    private final CompositeDisposable takeovers = new CompositeDisposable();
    private final Map<LeaseUnit, Integer> cachedRanks = new HashMap<>();
    private List<String> rankedMembers = List.of();
    private boolean stopping;

    public LeaseManager(
            String incarnation,
            AuthoritySettings settings,
            TableService tables,
            TimerService timers,
            RandomGenerator random,
            MetricRegistry metrics,
            Supplier<List<LeaseUnit>> units,
            Supplier<List<String>> members) {
        this.incarnation = incarnation;
        this.settings = settings;
        this.store = new LeaseStore(tables);
        this.timers = timers;
        this.metrics = metrics;
        this.units = units;
        this.members = members;
        this.inFlightRequests = new InFlightRequests(timers, settings.terms().duration());
        this.renewalLoop = new JitteredLoop(
                "lease_renewal",
                timers,
                random,
                metrics,
                settings.renewalPeriod(),
                settings.storeDeadline(),
                () -> renewAll());
        this.observationLoop = new JitteredLoop(
                "lease_observation",
                timers,
                random,
                metrics,
                settings.observationPeriod(),
                settings.storeDeadline(),
                () -> observeAll());
        metrics.register("leases_held", (Gauge<Integer>) leases::size);
    }

    /** Starts the renewal and observation loops. */
    public void start() {
        renewalLoop.start();
        observationLoop.start();
    }

    /** Cancels the tasks, waits for requests in flight and releases the leases. Completes even if the store fails. */
    public Completable stop() {
        stopping = true;
        observationLoop.stop();
        takeovers.dispose();
        List.copyOf(leases.keySet()).forEach(this::cancelTasks);
        return inFlightRequests
                .awaitIdle(IN_FLIGHT_POLL_PERIOD, settings.terms().requestDeadline())
                .andThen(Completable.defer(() -> {
                    renewalLoop.stop();
                    return release(List.copyOf(leases.values()));
                }))
                .timeout(
                        settings.terms()
                                .requestDeadline()
                                .plus(settings.storeDeadline())
                                .toNanos(),
                        java.util.concurrent.TimeUnit.NANOSECONDS,
                        timers.scheduler())
                .onErrorComplete()
                .doFinally(() -> {
                    renewalLoop.stop();
                    leases.clear();
                });
    }

    @Override
    public Optional<Authority> findAuthority(LeaseUnit unit) {
        if (stopping) {
            return Optional.empty();
        }
        return Optional.ofNullable(leases.get(unit))
                .filter(lease -> lease.isValid(settings.terms(), timers.monotonicNanoseconds()))
                .map(this::authorityOf);
    }

    @Override
    public <T> Single<T> send(Authority authority, Supplier<Single<T>> request) {
        return Single.defer(() -> {
            if (!isHeld(authority)) {
                metrics.meter("authority_lost_before_send").mark();
                return Single.error(new FireflywalkException(
                        ErrorKind.AUTHORITY_LOST,
                        "lease with fencing token " + authority.token() + " is no longer held",
                        authority.unit().key()));
            }
            return inFlightRequests.track(authority.unit(), request.get());
        });
    }

    @Override
    public Disposable whileHeld(LeaseUnit unit, Function<Authority, Completable> task) {
        LeaseTask leaseTask = new LeaseTask(unit, task);
        tasks.add(leaseTask);
        findAuthority(unit).ifPresent(leaseTask::start);
        return Disposable.fromAction(() -> {
            tasks.remove(leaseTask);
            leaseTask.cancel();
        });
    }

    private Completable renewAll() {
        long now = timers.monotonicNanoseconds();
        List.copyOf(leases.values()).stream()
                .filter(lease -> !lease.isValid(settings.terms(), now))
                .forEach(lease -> cancelTasks(lease.unit()));
        Set<LeaseUnit> existingUnits = Set.copyOf(units.get());
        cachedRanks.keySet().retainAll(existingUnits);
        List<HeldLease> toRelease = stopping ? List.of() : leasesToRelease(existingUnits, now);
        return release(toRelease).andThen(Completable.defer(() -> renew(List.copyOf(leases.values()), true)));
    }

    /**
     * Returns the leases of units that no longer exist, or that this process has not been a candidate for during a
     * whole lease duration.
     */
    private List<HeldLease> leasesToRelease(Set<LeaseUnit> existingUnits, long now) {
        List<HeldLease> toRelease = new ArrayList<>();
        for (HeldLease lease : leases.values()) {
            LeaseUnit unit = lease.unit();
            if (rank(unit).isPresent() && existingUnits.contains(unit)) {
                notCandidateSince.remove(unit);
                continue;
            }
            long notCandidateFrom = notCandidateSince.computeIfAbsent(unit, ignored -> now);
            // Releasing at once would move leases back and forth while the membership flaps.
            if (now - notCandidateFrom >= settings.terms().duration().toNanos() && inFlightRequests.mayRelease(unit)) {
                toRelease.add(lease);
            }
        }
        return toRelease;
    }

    private Completable renew(Collection<HeldLease> batch, boolean mayRetry) {
        if (batch.isEmpty()) {
            return Completable.complete();
        }
        List<LeaseWrite> writes = batch.stream()
                .map(lease -> new LeaseWrite(lease.unit(), lease.version(), lease.record()))
                .toList();
        long sentAt = timers.monotonicNanoseconds();
        return store.write(writes)
                .onErrorResumeNext(cause -> reread(batch).andThen(Single.error(cause)))
                .flatMapCompletable(conflicting -> {
                    if (conflicting.isEmpty()) {
                        batch.forEach(lease -> renewed(lease, sentAt));
                        return Completable.complete();
                    }
                    return reread(batch)
                            .andThen(Completable.defer(() -> mayRetry
                                    ? renew(List.copyOf(leases.values()), false)
                                    : Completable.error(new FireflywalkException(
                                            ErrorKind.STORE_UNAVAILABLE,
                                            "the transaction conflicted twice",
                                            "lease renewal"))));
                });
    }

    private void renewed(HeldLease lease, long sentAt) {
        HeldLease current = leases.get(lease.unit());
        if (current == null || current.record().token() != lease.record().token()) {
            return;
        }
        leases.put(lease.unit(), lease.renewed(sentAt));
        startTasks(lease.unit());
    }

    /** Reads the rows again after an unknown outcome or a conflict and drops the leases that another process holds. */
    private Completable reread(Collection<HeldLease> batch) {
        List<LeaseUnit> unitsToRead = batch.stream().map(HeldLease::unit).toList();
        return store.read(unitsToRead)
                .doOnSuccess(stored -> stored.forEach(this::reconcile))
                .ignoreElement();
    }

    private void reconcile(LeaseUnit unit, StoredLease stored) {
        HeldLease lease = leases.get(unit);
        if (lease == null) {
            return;
        }
        boolean stillHeld = stored.record()
                .filter(row -> row.isHeldBy(incarnation, lease.record().token()))
                .isPresent();
        if (stillHeld) {
            leases.put(unit, lease.withVersion(stored.version()));
        } else {
            dropLease(unit);
        }
    }

    private Completable observeAll() {
        List<LeaseUnit> unitsToRead = units.get().stream()
                .filter(unit -> !leases.containsKey(unit) && rank(unit).isPresent())
                .toList();
        observed.keySet().retainAll(Set.copyOf(unitsToRead));
        if (unitsToRead.isEmpty()) {
            return Completable.complete();
        }
        return store.read(unitsToRead)
                .doOnSuccess(stored -> stored.forEach(this::observe))
                .ignoreElement();
    }

    private void observe(LeaseUnit unit, StoredLease stored) {
        if (stopping || leases.containsKey(unit)) {
            return;
        }
        if (stored.record().isPresent()
                && stored.record().get().holder().filter(incarnation::equals).isPresent()) {
            // The response to a takeover was lost: this process owns the row, but the lease is invalid until renewed.
            leases.put(unit, HeldLease.adopted(unit, stored.record().get(), stored.version()));
            observed.remove(unit);
            renewalLoop.trigger();
            return;
        }
        long now = timers.monotonicNanoseconds();
        ObservedLease observedLease = ObservedLease.observe(
                Optional.ofNullable(observed.get(unit)), unit, stored.record(), stored.version(), now);
        observed.put(unit, observedLease);
        long delayNanoseconds = Math.max(0, observedLease.untilTakeover(settings.terms(), now))
                + settings.takeoverStagger().toNanos() * rank(unit).orElse(CANDIDATES_PER_UNIT);
        if (delayNanoseconds < settings.observationPeriod().toNanos()) {
            takeovers.add(timers.after(Duration.ofNanos(delayNanoseconds))
                    .andThen(Completable.defer(() -> takeOver(unit, observedLease.version())))
                    .subscribe(
                            () -> {}, cause -> LOG.warnf("event=takeover_failed unit=%s cause=%s", unit.key(), cause)));
        }
    }

    private Completable takeOver(LeaseUnit unit, long version) {
        long now = timers.monotonicNanoseconds();
        ObservedLease observedLease = observed.get(unit);
        boolean due = observedLease != null
                && observedLease.version() == version
                && observedLease.untilTakeover(settings.terms(), now) <= 0
                && rank(unit).isPresent()
                && !stopping
                && !leases.containsKey(unit);
        if (!due) {
            return Completable.complete();
        }
        observed.remove(unit);
        LeaseRecord record = LeaseRecord.takenOver(
                observedLease.record(), incarnation, settings.terms().duration().toMillis());
        return store.write(List.of(new LeaseWrite(unit, version, record)))
                .doOnSuccess(conflicting -> {
                    if (conflicting.isEmpty() && !stopping) {
                        LOG.infof("event=lease_acquired unit=%s token=%d", unit.key(), record.token());
                        metrics.meter("lease_acquisitions").mark();
                        leases.put(unit, HeldLease.takenOver(unit, record, version + 1, now));
                        startTasks(unit);
                    }
                })
                .ignoreElement();
    }

    private Completable release(List<HeldLease> batch) {
        List<HeldLease> releasable = batch.stream()
                .filter(lease -> inFlightRequests.mayRelease(lease.unit()))
                .toList();
        if (releasable.isEmpty()) {
            return Completable.complete();
        }
        releasable.forEach(lease -> dropLease(lease.unit()));
        LOG.infof("event=leases_released count=%d", releasable.size());
        return store.write(releasable.stream()
                        .map(lease -> new LeaseWrite(
                                lease.unit(), lease.version(), lease.record().released()))
                        .toList())
                .ignoreElement();
    }

    private void dropLease(LeaseUnit unit) {
        if (leases.remove(unit) != null) {
            LOG.infof("event=lease_lost unit=%s", unit.key());
            metrics.meter("lease_losses").mark();
        }
        notCandidateSince.remove(unit);
        cancelTasks(unit);
    }

    private void startTasks(LeaseUnit unit) {
        findAuthority(unit)
                .ifPresent(authority ->
                        tasks.stream().filter(task -> task.unit().equals(unit)).forEach(task -> task.start(authority)));
    }

    private void cancelTasks(LeaseUnit unit) {
        tasks.stream().filter(task -> task.unit().equals(unit)).forEach(LeaseTask::cancel);
    }

    /**
     * Returns this process's rank among the unit's candidates, or empty if it is none. Ranks are cached until the
     * membership changes, because ranking 410 members for 90 units in each round is expensive.
     */
    private Optional<Integer> rank(LeaseUnit unit) {
        List<String> currentMembers = members.get();
        if (!currentMembers.equals(rankedMembers)) {
            rankedMembers = List.copyOf(currentMembers);
            cachedRanks.clear();
        }
        int rank = cachedRanks.computeIfAbsent(
                unit,
                rankedUnit -> RendezvousHashing.rankIncarnations(rankedMembers, rankedUnit.key(), CANDIDATES_PER_UNIT)
                        .indexOf(incarnation));
        return rank < 0 ? Optional.empty() : Optional.of(rank);
    }

    private Authority authorityOf(HeldLease lease) {
        return new Authority(lease.unit(), lease.record().token(), incarnation);
    }
}
