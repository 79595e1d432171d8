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
 * Follows the configuration in the table service and holds the snapshot in force, which only moves to higher versions
 * whatever the order in which answers of the store and of peers arrive. Confined to one event loop.
 */
public final class ConfigurationWatcher {
    private static final Logger LOG = Logger.getLogger(ConfigurationWatcher.class);
    /** Entries kept to bring peers up to date without the store; a peer further behind reads the store itself. */
    private static final int KEPT_ENTRIES = 256;
    /** Keeps the whole fleet's polls near 170 reads a second, a twelfth of what the table service takes. */
    private static final long POLL_NANOSECONDS_PER_MEMBER = 6_000_000;

    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 2;
    private static final double JITTER = 0.2;

    private final ConfigurationRepository repository;
    private final TimerService timers;
    private final Duration period;
    private final Random random;
    private final Deque<ChangeRecord> recentEntries = new ArrayDeque<>();
    private LongConsumer checkListener = began -> {};
    private ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();
    private int failures;
    private Optional<Disposable> subscription = Optional.empty();

    public ConfigurationWatcher(
            ConfigurationRepository repository, TimerService timers, Duration period, Random random) {
        this.repository = repository;
        this.timers = timers;
        this.period = period;
        this.random = random;
    }

    /** Starts to poll. */
    public void start() {
        subscription = Optional.of(Flowable.defer(() -> refresh()
                        .onErrorComplete()
                        .andThen(Completable.defer(() -> timers.after(pause())))
                        .toFlowable())
                .repeat()
                .subscribe());
    }

    /** Stops to poll. */
    public void stop() {
        subscription.ifPresent(Disposable::dispose);
    }

    /** Returns the snapshot in force. */
    public ConfigurationSnapshot snapshot() {
        return snapshot;
    }

    /** Sets the listener that learns the beginning of each check of the store that succeeded. */
    public void onCheck(LongConsumer listener) {
        checkListener = listener;
    }

    /** Reads the head once and applies what is newer. */
    public Completable refresh() {
        return Completable.defer(() -> {
            long began = timers.monotonicNanoseconds();
            return repository
                    .refresh(snapshot)
                    .observeOn(timers.scheduler())
                    .doOnSuccess(refreshed -> {
                        failures = 0;
                        adopt(refreshed.snapshot());
                        refreshed.entries().forEach(this::keep);
                        checkListener.accept(began);
                    })
                    .doOnError(cause -> {
                        failures++;
                        LOG.warnf("event=configuration_refresh_failed cause=\"%s\"", cause.getMessage());
                    })
                    .ignoreElement();
        });
    }

    /** Puts a snapshot in force unless the present one is as new. */
    public void adopt(ConfigurationSnapshot candidate) {
        if (candidate.version() > snapshot.version()) {
            snapshot = candidate;
            LOG.infof("event=configuration_in_force version=%d", candidate.version());
        }
    }

    /** Applies the entries that directly follow the snapshot in force; others have no effect. */
    public void adoptEntries(List<ChangeRecord> entries) throws FireflywalkException {
        for (ChangeRecord entry : entries) {
            // Without a loaded snapshot, entry 1 alone would do, but later entries rest on documents not yet read.
            if (entry.version() == snapshot.version() + 1) {
                adopt(snapshot.apply(entry.version(), DocumentCodec.fromMessages(entry.changes(), "peer")));
                keep(entry);
            }
        }
    }

    /** Returns the kept entries after the version, without a gap; empty if they do not reach back that far. */
    public List<ChangeRecord> entriesAfter(long version) {
        List<ChangeRecord> entries = recentEntries.stream()
                .filter(entry -> entry.version() > version)
                .toList();
        boolean complete = !entries.isEmpty() && entries.get(0).version() == version + 1;
        return complete ? entries : List.of();
    }

    private void keep(ChangeRecord entry) {
        if (recentEntries.isEmpty()
                || entry.version() == recentEntries.getLast().version() + 1) {
            recentEntries.addLast(entry);
        } else if (entry.version() > recentEntries.getLast().version()) {
            recentEntries.clear();
            recentEntries.addLast(entry);
        }
        if (recentEntries.size() > KEPT_ENTRIES) {
            recentEntries.removeFirst();
        }
    }

    private Duration pause() {
        long bySize = POLL_NANOSECONDS_PER_MEMBER * snapshot.memberSet().size();
        long base = Math.max(period.toNanos(), bySize) << Math.min(failures, MAXIMUM_BACKOFF_DOUBLINGS);
        return Duration.ofNanos((long) (base * (1 - JITTER * random.nextDouble())));
    }
}
