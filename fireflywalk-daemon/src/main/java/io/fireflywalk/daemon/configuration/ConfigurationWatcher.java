package io.fireflywalk.daemon.configuration;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.configuration.ChangeRecord;
import io.fireflywalk.services.configuration.ConfigurationRepository;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongConsumer;
import org.jboss.logging.Logger;

/**
 * Polls the configuration in the table service and holds the active snapshot. The version of the active snapshot only
 * increases, in whatever order responses of the table service and of peers arrive. Confined to one event loop.
 */
public final class ConfigurationWatcher {
    private static final Logger LOG = Logger.getLogger(ConfigurationWatcher.class);
    /** Entries kept in memory for peers that lag; a peer that lags further reads the table service. */
    private static final int MAXIMUM_RECENT_ENTRIES = 256;
    /** Limits the polls of the whole fleet to about 170 reads per second, a twelfth of the table service's capacity. */
    private static final long POLL_PERIOD_NANOSECONDS_PER_MEMBER = 6_000_000;

    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 2;
    private static final double JITTER = 0.2;

    private final ConfigurationRepository repository;
    private final TimerService timers;
    private final Duration pollPeriod;
    private final Random random;
    private final Deque<ChangeRecord> recentEntries = new ArrayDeque<>();
    private LongConsumer checkListener = startedAt -> {};
    private ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();
    private int consecutiveFailures;
    private Optional<Disposable> subscription = Optional.empty();

    public ConfigurationWatcher(
            ConfigurationRepository repository, TimerService timers, Duration pollPeriod, Random random) {
        this.repository = repository;
        this.timers = timers;
        this.pollPeriod = pollPeriod;
        this.random = random;
    }

    /** Starts polling. */
    public void start() {
        subscription = Optional.of(Flowable.defer(() -> refresh()
                        .onErrorComplete()
                        .andThen(Completable.defer(() -> timers.after(nextPollDelay())))
                        .toFlowable())
                .repeat()
                .subscribe());
    }

    /** Stops polling. */
    public void stop() {
        subscription.ifPresent(Disposable::dispose);
    }

    /** Returns the active snapshot. */
    public ConfigurationSnapshot snapshot() {
        return snapshot;
    }

    /** Sets the listener that receives the monotonic start time of each successful read of the table service. */
    public void setCheckListener(LongConsumer listener) {
        checkListener = listener;
    }

    /** Reads the table service once and applies newer entries. */
    public Completable refresh() {
        return Completable.defer(() -> {
            long startedAt = timers.monotonicNanoseconds();
            return repository
                    .refresh(snapshot)
                    .observeOn(timers.scheduler())
                    .doOnSuccess(refreshed -> {
                        consecutiveFailures = 0;
                        activateIfNewer(refreshed.snapshot());
                        refreshed.entries().forEach(this::addRecentEntry);
                        checkListener.accept(startedAt);
                    })
                    .doOnError(cause -> {
                        consecutiveFailures++;
                        LOG.warnf("event=configuration_refresh_failed cause=\"%s\"", cause.getMessage());
                    })
                    .ignoreElement();
        });
    }

    /** Activates the snapshot if its version is higher than that of the active one. */
    public void activateIfNewer(ConfigurationSnapshot candidate) {
        if (candidate.version() > snapshot.version()) {
            snapshot = candidate;
            LOG.infof("event=configuration_in_force version=%d", candidate.version());
        }
    }

    /** Applies the entries that directly follow the active snapshot and ignores all others. */
    public void applyEntries(List<ChangeRecord> entries) throws FireflywalkException {
        for (ChangeRecord entry : entries) {
            // Entries build on the documents of all earlier versions, so an empty snapshot accepts only entry 1.
            if (entry.version() == snapshot.version() + 1) {
                activateIfNewer(snapshot.apply(entry.version(), DocumentCodec.fromMessages(entry.changes(), "peer")));
                addRecentEntry(entry);
            }
        }
    }

    /** Returns all entries after the version, or an empty list if the next one is no longer in memory. */
    public List<ChangeRecord> entriesAfter(long version) {
        List<ChangeRecord> entries = recentEntries.stream()
                .filter(entry -> entry.version() > version)
                .toList();
        boolean contiguous = !entries.isEmpty() && entries.get(0).version() == version + 1;
        return contiguous ? entries : List.of();
    }

    private void addRecentEntry(ChangeRecord entry) {
        if (recentEntries.isEmpty()
                || entry.version() == recentEntries.getLast().version() + 1) {
            recentEntries.addLast(entry);
        } else if (entry.version() > recentEntries.getLast().version()) {
            recentEntries.clear();
            recentEntries.addLast(entry);
        }
        if (recentEntries.size() > MAXIMUM_RECENT_ENTRIES) {
            recentEntries.removeFirst();
        }
    }

    private Duration nextPollDelay() {
        long fleetPeriod =
                POLL_PERIOD_NANOSECONDS_PER_MEMBER * snapshot.memberSet().size();
        long base =
                Math.max(pollPeriod.toNanos(), fleetPeriod) << Math.min(consecutiveFailures, MAXIMUM_BACKOFF_DOUBLINGS);
        return Duration.ofNanos((long) (base * (1 - JITTER * random.nextDouble())));
    }
}
