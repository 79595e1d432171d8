package io.fireflywalk.daemon.usage;

import java.time.Duration;

/**
 * Timing and limits of usage reports.
 *
 * @param window length of a usage window
 * @param grace time after the end of a window during which flushes may still add rows to it
 * @param deadline time after the end of a window after which its report counts as late
 * @param runPeriod time between two runs of the reporter and of the retention
 * @param windowsPerRange number of windows in a range, which one lease covers
 * @param correctionWindows number of windows after which late usage is no longer reported
 */
public record ReportLimits(
        Duration window,
        Duration grace,
        Duration deadline,
        Duration runPeriod,
        int windowsPerRange,
        int correctionWindows) {

    /** Returns the range that contains the window. */
    public long rangeOf(long window) {
        return Math.floorDiv(window, windowsPerRange);
    }
}
