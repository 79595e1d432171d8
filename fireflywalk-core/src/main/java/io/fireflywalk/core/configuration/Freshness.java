package io.fireflywalk.core.configuration;

import java.util.OptionalLong;

/**
 * Freshness of an instance's configuration. The instance may serve routes that require a key while its last successful
 * freshness check started less than the limit ago on its own monotonic clock. Immutable.
 *
 * @param limitNanoseconds freshness limit, the same on all instances
 * @param lastCheckStartedAt monotonic time at which the latest successful check started
 */
public record Freshness(long limitNanoseconds, OptionalLong lastCheckStartedAt) {

    /** Returns the state before the first successful check. */
    public static Freshness none(long limitNanoseconds) {
        return new Freshness(limitNanoseconds, OptionalLong.empty());
    }

    /** Returns the state after a successful check. A check that started before the latest one has no effect. */
    public Freshness renewed(long startedAt) {
        if (lastCheckStartedAt.isPresent() && lastCheckStartedAt.getAsLong() - startedAt >= 0) {
            return this;
        }
        return new Freshness(limitNanoseconds, OptionalLong.of(startedAt));
    }

    /** Tells whether the latest check is within the limit. */
    public boolean isFresh(long now) {
        return lastCheckStartedAt.isPresent() && now - lastCheckStartedAt.getAsLong() < limitNanoseconds;
    }

    /**
     * Tells whether the instance may serve routes that require a key from the snapshot. An instance that is not a
     * member of the snapshot may not, because changes are acknowledged without waiting for it.
     */
    public boolean mayServeAuthenticatedRoutes(ConfigurationSnapshot snapshot, String self, long now) {
        return snapshot.memberSet().contains(self) && isFresh(now);
    }
}
