package io.fireflywalk.daemon.configuration;

import io.fireflywalk.core.configuration.Freshness;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;

/** Decides whether this instance may serve routes that require an API key. Confined to one event loop. */
public final class FreshnessGuard {
    private final ConfigurationWatcher watcher;
    private final TimerService timers;
    private final String selfIncarnation;
    private Freshness freshness;
    private boolean stopped;
    private long storeChecks;
    private long peerChecks;

    FreshnessGuard(ConfigurationWatcher watcher, TimerService timers, String selfIncarnation, Duration freshnessLimit) {
        this.watcher = watcher;
        this.timers = timers;
        this.selfIncarnation = selfIncarnation;
        this.freshness = Freshness.none(freshnessLimit.toNanos());
        watcher.setCheckListener(startedAt -> {
            storeChecks++;
            freshness = freshness.renewed(startedAt);
        });
    }

    /** Returns whether requests with an API key may be admitted; if not, they are refused with CONFIGURATION_STALE. */
    public boolean mayServeAuthenticatedRoutes() {
        return !stopped
                && freshness.mayServeAuthenticatedRoutes(
                        watcher.snapshot(), selfIncarnation, timers.monotonicNanoseconds());
    }

    /** Returns the number of successful freshness checks against the table service. */
    public long storeChecks() {
        return storeChecks;
    }

    /** Returns the number of successful freshness checks against a majority of the peers. */
    public long peerChecks() {
        return peerChecks;
    }

    /** Renews freshness from evidence that, after the given time, a majority held no version above the given one. */
    void recordMajorityCheck(long startedAt, long version) {
        if (version <= watcher.snapshot().version()) {
            peerChecks++;
            freshness = freshness.renewed(startedAt);
        }
    }

    /** Permanently stops serving routes that require an API key; called before this instance leaves the membership. */
    void stop() {
        stopped = true;
    }
}
