package io.fireflywalk.core.configuration;

import java.util.OptionalLong;

/**
 * Until when an instance may serve keyed routes: while its last successful freshness check began less than the limit
 * ago on its own monotonic clock. Immutable.
 *
 * @param limitNanoseconds freshness limit, equal on all instances
 * @param checkBegan monotonic time at which the latest successful check began
 */
public record Freshness(long limitNanoseconds, OptionalLong checkBegan) {

    /** Returns the state of an instance that has not passed a check yet. */
    public static Freshness none(long limitNanoseconds) {
        return new Freshness(limitNanoseconds, OptionalLong.empty());
    }

    /** Returns the state after a successful check; a check that began earlier than the latest changes nothing. */
    public Freshness renewed(long began) {
        if (checkBegan.isPresent() && checkBegan.getAsLong() - began >= 0) {
            return this;
        }
        return new Freshness(limitNanoseconds, OptionalLong.of(began));
    }

    /** Tells whether the limit has not passed yet. */
    public boolean isFresh(long now) {
        return checkBegan.isPresent() && now - checkBegan.getAsLong() < limitNanoseconds;
    }

    /**
     * Tells whether the instance may serve keyed routes from the snapshot. An instance that is no member of its own
     * snapshot may not, because no acknowledgement waits for it.
     */
    public boolean mayServeKeyedRoutes(ConfigurationSnapshot snapshot, String self, long now) {
        return snapshot.memberSet().contains(self) && isFresh(now);
    }
}
