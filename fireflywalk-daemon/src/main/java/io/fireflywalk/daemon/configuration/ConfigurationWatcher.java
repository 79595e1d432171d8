package io.fireflywalk.daemon.configuration;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.platform.configuration.ConfigurationRepository;
import io.fireflywalk.platform.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.Optional;
import org.jboss.logging.Logger;

/** Follows the configuration in the table service and holds the snapshot in force. Confined to one event loop. */
public final class ConfigurationWatcher {
    private static final Logger LOG = Logger.getLogger(ConfigurationWatcher.class);

    private final ConfigurationRepository repository;
    private final TimerService timers;
    private final Duration period;
    private ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();
    private Optional<Disposable> subscription = Optional.empty();

    public ConfigurationWatcher(ConfigurationRepository repository, TimerService timers, Duration period) {
        this.repository = repository;
        this.timers = timers;
        this.period = period;
    }

    /** Starts to poll. */
    public void start() {
        subscription = Optional.of(timers.every(period)
                .startWithItem(-1L)
                .concatMapCompletable(tick -> refresh().onErrorComplete())
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

    /** Reads the head once and applies what is newer. */
    public Completable refresh() {
        return repository
                .refresh(snapshot)
                .observeOn(timers.scheduler())
                .doOnSuccess(this::adopt)
                .doOnError(cause -> LOG.warnf("event=configuration_refresh_failed cause=\"%s\"", cause.getMessage()))
                .ignoreElement();
    }

    /** Puts a snapshot in force unless the present one is as new. */
    public void adopt(ConfigurationSnapshot candidate) {
        if (candidate.version() > snapshot.version()) {
            snapshot = candidate;
            LOG.infof("event=configuration_in_force version=%d", candidate.version());
        }
    }
}
