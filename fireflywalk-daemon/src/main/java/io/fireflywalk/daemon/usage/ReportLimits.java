package io.fireflywalk.daemon.usage;

import java.time.Duration;

/**
 * Times and bounds of reports.
 *
 * @param window length of a usage window
 * @param grace time after the end of a window until it is closed, in which flushes still count for it
 * @param deadline time after the end of a window until its report is late
 * @param period time between two runs of the reporter
 * @param windowsPerRange windows that one lease covers
 * @param correctionWindows age in windows after which late usage is no longer booked
 */
public record ReportLimits(
        Duration window,
        Duration grace,
        Duration deadline,
        Duration period,
        int windowsPerRange,
        int correctionWindows) {

    /** Returns the range that contains the window. */
    public long rangeOf(long window) {
        return Math.floorDiv(window, windowsPerRange);
    }
}
