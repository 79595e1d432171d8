package io.fireflywalk.daemon.usage;

import java.time.Duration;

/**
 * Bounds of recording. Durations have units in their type.
 *
 * @param window length of a usage window
 * @param flushPeriod shortest time between two flushes of an instance
 * @param fleetFlushesPerSecond bound of flush transactions of the whole fleet; stretches the period of each instance
 * @param copyInterval shortest time between two messages to the same peer
 * @param hold longest time that the end of an answer waits
 * @param maximumRows bound of own rows in memory
 * @param maximumCopiedRows bound of other instances' rows in memory
 */
public record UsageLimits(
        Duration window,
        Duration flushPeriod,
        int fleetFlushesPerSecond,
        Duration copyInterval,
        Duration hold,
        int maximumRows,
        int maximumCopiedRows) {

    /** Returns the time between two flushes of one instance in a fleet of the size. */
    public Duration flushInterval(int members) {
        Duration share = Duration.ofMillis(1000L * members / fleetFlushesPerSecond);
        return share.compareTo(flushPeriod) > 0 ? share : flushPeriod;
    }
}
