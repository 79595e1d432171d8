package io.fireflywalk.daemon.usage;

import io.fireflywalk.core.usage.UsageRow;
import java.util.List;
import java.util.Locale;

/** Names of the usage tables and of their keys, and the types of their rows. */
final class UsageTables {
    /** Segments of flushed rows, keyed by window, incarnation of the owner, and writer. */
    static final String USAGE_TABLE = UsageRecorder.TABLE;
    /** Closed windows, their frozen figures, and markers of sent reports. */
    static final String REPORT_TABLE = "usage-report";
    /** Key of the row that holds the first and last closed window. */
    static final String CLOSED_RANGE_KEY = "closed-range";

    /** Key of the row that holds the last window whose segments may have been removed. */
    static final String REMOVED_THROUGH_KEY = "removed-through";
    /** Prefix of the markers of received reports, ordered by window. */
    static final String SENT_PREFIX = "sent/";

    private UsageTables() {}

    static String sortableNumber(long value) {
        return String.format(Locale.ROOT, "%019d", value);
    }

    static String windowPrefix(long window) {
        return sortableNumber(window) + "/";
    }

    static String ownerPrefix(long window, String incarnation) {
        return windowPrefix(window) + incarnation + "/";
    }

    static long windowOf(String segmentKey) {
        return Long.parseLong(segmentKey.substring(0, segmentKey.indexOf('/')));
    }

    static String closedKey(long window) {
        return "closed/" + sortableNumber(window);
    }

    static String figuresKey(long window) {
        return "figures/" + sortableNumber(window);
    }

    static String figuresPartKey(long window, int part) {
        return figuresKey(window) + "/" + sortableNumber(part);
    }

    static String sentPrefix(long range) {
        return SENT_PREFIX + sortableNumber(range) + "/";
    }

    static String sentKey(long range, long window) {
        return sentPrefix(range) + sortableNumber(window);
    }

    /** Rows of one owner that one flush stored in one window. */
    record Segment(List<UsageRow> rows) {
        Segment {
            rows = List.copyOf(rows);
        }
    }

    /** First and last closed window; all windows between them are closed too. */
    record ClosedRange(long first, long last) {}

    /** Number of parts of a window's frozen figures. */
    record FiguresHead(long windowMilliseconds, int parts) {}

    /** One part of a window's frozen figures. */
    record FiguresPart(
            List<io.fireflywalk.core.usage.UsageFigure> figures,
            List<io.fireflywalk.core.usage.UsageFigure> corrections) {}
}
