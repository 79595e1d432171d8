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
import io.fireflywalk.daemon.authority.LeaseStore.FoundLease;
import io.fireflywalk.daemon.authority.LeaseStore.LeaseWrite;
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
 * Acquires, renews, observes and hands over leases. One transaction renews all leases of the process; one read or scan
 * observes all units that it is a candidate for. Confined to one event loop.
 */
public final class LeaseKeeper implements AuthorityService {
    private static final Logger LOG = Logger.getLogger(LeaseKeeper.class);
    private static final int CANDIDATES = 3;
    private static final Duration RELEASE_CHECK_PERIOD = Duration.ofMillis(20);

    private final String incarnation;
    private final AuthoritySettings settings;
    private final LeaseStore store;
    private final TimerService timers;
    private final MetricRegistry metrics;
    private final Supplier<List<LeaseUnit>> units;
    private final Supplier<List<String>> members;
    private final JitteredLoop renewal;
    private final JitteredLoop observation;
    private final Map<LeaseUnit, HeldLease> leases = new LinkedHashMap<>();
    private final Map<LeaseUnit, ObservedLease> observed = new LinkedHashMap<>();
    private final Map<LeaseUnit, Long> notCandidateSince = new LinkedHashMap<>();
    private final List<HeldWork> works = new ArrayList<>();
    private final RequestsInFlight inFlight;
    private final CompositeDisposable takeovers = new CompositeDisposable();
    private final Map<LeaseUnit, Integer> ranks = new HashMap<>();
    private List<String> rankedMembers = List.of();
    private boolean stopping;

    public LeaseKeeper(
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
        this.inFlight = new RequestsInFlight(timers, settings.terms().duration());
        this.renewal = new JitteredLoop(
                "lease_renewal",
                timers,
                random,
                metrics,
                settings.renewalPeriod(),
                settings.storeDeadline(),
                () -> renewAll());
        this.observation = new JitteredLoop(
                "lease_observation",
                timers,
                random,
                metrics,
                settings.observationPeriod(),
                settings.storeDeadline(),
                () -> observeAll());
        metrics.register("leases_held", (Gauge<Integer>) leases::size);
    }

    /** Starts to observe and to renew. */
    public void start() {
        renewal.start();
        observation.start();
    }

    /** Ends the work, waits for requests in flight and hands the leases over. Completes also if the store fails. */
    public Completable stop() {
        stopping = true;
        observation.stop();
        takeovers.dispose();
        List.copyOf(leases.keySet()).forEach(this::endWork);
        return inFlight.awaitNone(RELEASE_CHECK_PERIOD, settings.terms().requestDeadline())
                .andThen(Completable.defer(() -> {
                    renewal.stop();
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
                    renewal.stop();
                    leases.clear();
                });
    }

    @Override
    public Optional<Authority> held(LeaseUnit unit) {
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
                        "token " + authority.token() + " no longer holds",
                        authority.unit().key()));
            }
            return inFlight.track(authority.unit(), request.get());
        });
    }

    @Override
    public Disposable whileHeld(LeaseUnit unit, Function<Authority, Completable> work) {
        HeldWork entry = new HeldWork(unit, work);
        works.add(entry);
        held(unit).ifPresent(entry::begin);
        return Disposable.fromAction(() -> {
            works.remove(entry);
            entry.end();
        });
    }

    private Completable renewAll() {
        long now = timers.monotonicNanoseconds();
        List.copyOf(leases.values()).stream()
                .filter(lease -> !lease.isValid(settings.terms(), now))
                .forEach(lease -> endWork(lease.unit()));
        Set<LeaseUnit> wanted = Set.copyOf(units.get());
        ranks.keySet().retainAll(wanted);
        List<HeldLease> leaving = stopping ? List.of() : leaving(wanted, now);
        return release(leaving).andThen(Completable.defer(() -> renew(List.copyOf(leases.values()), true)));
    }

    /** Returns leases of units that no longer exist or that this process has long not been a candidate for. */
    private List<HeldLease> leaving(Set<LeaseUnit> wanted, long now) {
        List<HeldLease> leaving = new ArrayList<>();
        for (HeldLease lease : leases.values()) {
            LeaseUnit unit = lease.unit();
            if (rank(unit).isPresent() && wanted.contains(unit)) {
                notCandidateSince.remove(unit);
                continue;
            }
            long since = notCandidateSince.computeIfAbsent(unit, ignored -> now);
            // Waits, because a membership that flaps would otherwise move leases back and forth.
            if (now - since >= settings.terms().duration().toNanos() && inFlight.mayRelease(unit)) {
                leaving.add(lease);
            }
        }
        return leaving;
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
                .flatMapCompletable(failed -> {
                    if (failed.isEmpty()) {
                        batch.forEach(lease -> renewed(lease, sentAt));
                        return Completable.complete();
                    }
                    return reread(batch)
                            .andThen(Completable.defer(() -> mayRetry
                                    ? renew(List.copyOf(leases.values()), false)
                                    : Completable.error(new FireflywalkException(
                                            ErrorKind.STORE_UNAVAILABLE, "renewal conflicts twice", "lease renewal"))));
                });
    }

    private void renewed(HeldLease lease, long sentAt) {
        HeldLease current = leases.get(lease.unit());
        if (current == null || current.record().token() != lease.record().token()) {
            return;
        }
        leases.put(lease.unit(), lease.renewed(sentAt));
        beginWork(lease.unit());
    }

    /** Reads rows after an unknown outcome or a conflict and drops the leases that another process holds. */
    private Completable reread(Collection<HeldLease> batch) {
        List<LeaseUnit> wanted = batch.stream().map(HeldLease::unit).toList();
        return store.read(wanted)
                .doOnSuccess(found -> found.forEach(this::reconcile))
                .ignoreElement();
    }

    private void reconcile(LeaseUnit unit, FoundLease found) {
        HeldLease lease = leases.get(unit);
        if (lease == null) {
            return;
        }
        boolean mine = found.record()
                .filter(row -> row.isHeldBy(incarnation, lease.record().token()))
                .isPresent();
        if (mine) {
            leases.put(unit, lease.atVersion(found.version()));
        } else {
            lose(unit);
        }
    }

    private Completable observeAll() {
        List<LeaseUnit> wanted = units.get().stream()
                .filter(unit -> !leases.containsKey(unit) && rank(unit).isPresent())
                .toList();
        observed.keySet().retainAll(Set.copyOf(wanted));
        if (wanted.isEmpty()) {
            return Completable.complete();
        }
        return store.read(wanted)
                .doOnSuccess(found -> found.forEach(this::observe))
                .ignoreElement();
    }

    private void observe(LeaseUnit unit, FoundLease found) {
        if (stopping || leases.containsKey(unit)) {
            return;
        }
        if (found.record().isPresent()
                && found.record().get().holder().filter(incarnation::equals).isPresent()) {
            // A takeover whose answer was lost: the row is this process's, but nothing is valid before a renewal.
            leases.put(unit, HeldLease.adopted(unit, found.record().get(), found.version()));
            observed.remove(unit);
            renewal.hasten();
            return;
        }
        long now = timers.monotonicNanoseconds();
        ObservedLease view = ObservedLease.observe(
                Optional.ofNullable(observed.get(unit)), unit, found.record(), found.version(), now);
        observed.put(unit, view);
        long wait = Math.max(0, view.untilTakeover(settings.terms(), now))
                + settings.takeoverStagger().toNanos() * rank(unit).orElse(CANDIDATES);
        if (wait < settings.observationPeriod().toNanos()) {
            takeovers.add(timers.after(Duration.ofNanos(wait))
                    .andThen(Completable.defer(() -> takeOver(unit, view.version())))
                    .subscribe(
                            () -> {}, cause -> LOG.warnf("event=takeover_failed unit=%s cause=%s", unit.key(), cause)));
        }
    }

    private Completable takeOver(LeaseUnit unit, long version) {
        long now = timers.monotonicNanoseconds();
        ObservedLease view = observed.get(unit);
        boolean due = view != null
                && view.version() == version
                && view.untilTakeover(settings.terms(), now) <= 0
                && rank(unit).isPresent()
                && !stopping
                && !leases.containsKey(unit);
        if (!due) {
            return Completable.complete();
        }
        observed.remove(unit);
        LeaseRecord record = LeaseRecord.takenOver(
                view.record(), incarnation, settings.terms().duration().toMillis());
        return store.write(List.of(new LeaseWrite(unit, version, record)))
                .doOnSuccess(failed -> {
                    if (failed.isEmpty() && !stopping) {
                        LOG.infof("event=lease_acquired unit=%s token=%d", unit.key(), record.token());
                        metrics.meter("lease_acquisitions").mark();
                        leases.put(unit, HeldLease.takenOver(unit, record, version + 1, now));
                        beginWork(unit);
                    }
                })
                .ignoreElement();
    }

    private Completable release(List<HeldLease> batch) {
        List<HeldLease> releasable = batch.stream()
                .filter(lease -> inFlight.mayRelease(lease.unit()))
                .toList();
        if (releasable.isEmpty()) {
            return Completable.complete();
        }
        releasable.forEach(lease -> lose(lease.unit()));
        LOG.infof("event=leases_released count=%d", releasable.size());
        return store.write(releasable.stream()
                        .map(lease -> new LeaseWrite(
                                lease.unit(), lease.version(), lease.record().released()))
                        .toList())
                .ignoreElement();
    }

    private void lose(LeaseUnit unit) {
        if (leases.remove(unit) != null) {
            LOG.infof("event=lease_lost unit=%s", unit.key());
            metrics.meter("lease_losses").mark();
        }
        notCandidateSince.remove(unit);
        endWork(unit);
    }

    private void beginWork(LeaseUnit unit) {
        held(unit)
                .ifPresent(authority ->
                        works.stream().filter(work -> work.unit().equals(unit)).forEach(work -> work.begin(authority)));
    }

    private void endWork(LeaseUnit unit) {
        works.stream().filter(work -> work.unit().equals(unit)).forEach(HeldWork::end);
    }

    /** Ranks are kept while the members stay, because ranking 410 members for 90 units each round is costly. */
    private Optional<Integer> rank(LeaseUnit unit) {
        List<String> present = members.get();
        if (!present.equals(rankedMembers)) {
            rankedMembers = List.copyOf(present);
            ranks.clear();
        }
        int rank = ranks.computeIfAbsent(
                unit,
                wanted -> RendezvousHashing.rankIncarnations(rankedMembers, wanted.key(), CANDIDATES)
                        .indexOf(incarnation));
        return rank < 0 ? Optional.empty() : Optional.of(rank);
    }

    private Authority authorityOf(HeldLease lease) {
        return new Authority(lease.unit(), lease.record().token(), incarnation);
    }
}
