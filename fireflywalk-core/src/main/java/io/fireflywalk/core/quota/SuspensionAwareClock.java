package io.fireflywalk.core.quota;

/**
 * Combines a monotonic clock, which stands still while a machine is suspended, with a wall clock, which does not but may
 * be set. A wall clock that is set forward makes rights expire early; one that is set back has no effect. Not
 * thread-safe.
 */
public final class SuspensionAwareClock {
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;
    /** Resolution of the wall clock and small corrections of it. */
    private static final long TOLERANCE_NANOSECONDS = 20 * NANOSECONDS_PER_MILLISECOND;

    private boolean started;
    private long referenceMonotonic;
    private long referenceWall;
    private long lead;

    /** Returns the reading for the time of both clocks. */
    public ClockReading read(long monotonicNanoseconds, long wallMilliseconds) {
        long wall = wallMilliseconds * NANOSECONDS_PER_MILLISECOND;
        long difference = (wall - referenceWall) - (monotonicNanoseconds - referenceMonotonic);
        if (!started || difference < 0) {
            started = true;
            referenceMonotonic = monotonicNanoseconds;
            referenceWall = wall;
        } else if (difference > TOLERANCE_NANOSECONDS) {
            lead += difference;
            referenceMonotonic = monotonicNanoseconds;
            referenceWall = wall;
        }
        return new ClockReading(monotonicNanoseconds, monotonicNanoseconds + lead);
    }
}
