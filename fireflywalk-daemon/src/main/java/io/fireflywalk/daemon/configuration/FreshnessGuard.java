package io.fireflywalk.daemon.configuration;

import io.fireflywalk.core.configuration.Freshness;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;

/** Tells the gateway whether keyed routes may be served now. Confined to one event loop. */
public final class FreshnessGuard {
    private final ConfigurationWatcher watcher;
    private final TimerService timers;
    private final String self;
    private Freshness freshness;
    private boolean stopped;
    private long storeChecks;
    private long peerChecks;

    FreshnessGuard(ConfigurationWatcher watcher, TimerService timers, String self, Duration limit) {
        this.watcher = watcher;
        this.timers = timers;
        this.self = self;
        this.freshness = Freshness.none(limit.toNanos());
        watcher.onCheck(began -> {
            storeChecks++;
            freshness = freshness.renewed(began);
        });
    }

    /** Tells whether a request with a key may be admitted now; if not, it is refused with CONFIGURATION_STALE. */
    public boolean mayServeKeyedRoutes() {
        return !stopped && freshness.mayServeKeyedRoutes(watcher.snapshot(), self, timers.monotonicNanoseconds());
    }

    /** Returns the number of successful checks of the store. */
    public long storeChecks() {
        return storeChecks;
    }

    /** Returns the number of successful checks over peers. */
    public long peerChecks() {
        return peerChecks;
    }

    /** Takes a proof that a majority held no version above the given one after the given time. */
    void majorityHeld(long began, long version) {
        if (version <= watcher.snapshot().version()) {
            peerChecks++;
            freshness = freshness.renewed(began);
        }
    }

    /** Ends service of keyed routes for good, before the instance leaves the members. */
    void stop() {
        stopped = true;
    }
}
