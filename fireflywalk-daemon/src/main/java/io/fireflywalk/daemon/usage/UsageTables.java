package io.fireflywalk.daemon.usage;

import io.fireflywalk.core.usage.UsageRow;
import java.util.List;
import java.util.Locale;

/** Tables and keys of usage. */
final class UsageTables {
    /** Flushed rows in segments, by window, incarnation of the owner, and writer. */
    static final String USAGE = UsageRecorder.TABLE;
    /** Closed windows, frozen figures and sent reports. */
    static final String REPORTS = "usage-report";
    /** Row with the first and last closed window. */
    static final String CLOSED_RANGE = "closed-range";

    /** Row with the last window whose segments may be removed. */
    static final String REMOVED_THROUGH = "removed-through";
    /** Prefix of the notes that a window's report was received, ordered by window. */
    static final String SENT = "sent/";

    private UsageTables() {}

    static String number(long value) {
        return String.format(Locale.ROOT, "%019d", value);
    }

    static String windowPrefix(long window) {
        return number(window) + "/";
    }

    static String ownerPrefix(long window, String incarnation) {
        return windowPrefix(window) + incarnation + "/";
    }

    static long windowOf(String segmentKey) {
        return Long.parseLong(segmentKey.substring(0, segmentKey.indexOf('/')));
    }

    static String closed(long window) {
        return "closed/" + number(window);
    }

    static String figures(long window) {
        return "figures/" + number(window);
    }

    static String figuresPart(long window, int part) {
        return figures(window) + "/" + number(part);
    }

    static String sentPrefix(long range) {
        return SENT + number(range) + "/";
    }

    static String sent(long range, long window) {
        return sentPrefix(range) + number(window);
    }

    /** Rows of one owner that one flush wrote into one window. */
    record Segment(List<UsageRow> rows) {
        Segment {
            rows = List.copyOf(rows);
        }
    }

    /** First and last window that is closed; all windows between them are closed. */
    record ClosedRange(long first, long last) {}

    /** Number of parts of a window's frozen figures. */
    record FiguresHead(long windowMilliseconds, int parts) {}

    /** Part of a window's frozen figures. */
    record FiguresPart(
            List<io.fireflywalk.core.usage.UsageFigure> figures,
            List<io.fireflywalk.core.usage.UsageFigure> corrections) {}
}
