package io.fireflywalk.daemon.usage;

import java.time.Duration;

/**
 * Limits for recording, copying and flushing usage.
 *
 * @param window length of a usage window
 * @param flushPeriod minimum time between two flushes of an instance
 * @param fleetFlushesPerSecond maximum rate of flush transactions of the whole fleet; lengthens the flush interval of
 *     each instance in a large fleet
 * @param copyInterval minimum time between two copy messages to the same peer
 * @param maximumHold maximum time that the end of a response waits until two peers or the table service have its usage
 * @param maximumRows maximum number of own rows in memory
 * @param maximumCopiedRows maximum number of copied rows of other instances in memory
 */
public record UsageLimits(
        Duration window,
        Duration flushPeriod,
        int fleetFlushesPerSecond,
        Duration copyInterval,
        Duration maximumHold,
        int maximumRows,
        int maximumCopiedRows) {

    /** Returns the time between two flushes of one instance in a fleet of {@code members} instances. */
    public Duration flushInterval(int members) {
        Duration fleetInterval = Duration.ofMillis(1000L * members / fleetFlushesPerSecond);
        return fleetInterval.compareTo(flushPeriod) > 0 ? fleetInterval : flushPeriod;
    }
}
