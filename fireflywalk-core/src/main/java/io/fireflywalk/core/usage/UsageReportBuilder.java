package io.fireflywalk.core.usage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Sums up the usage figures of one window from its flushed rows, which must arrive grouped by incarnation, so that the
 * rows of only one incarnation are in memory. Rows of earlier windows that were flushed late become corrections,
 * reduced by the amounts that the earlier windows already contain for the same key. Not thread-safe.
 */
public final class UsageReportBuilder {
    private static final Comparator<UsageFigure> REPORT_ORDER = Comparator.comparingLong(UsageFigure::window)
            .thenComparing(UsageFigure::clientAccount)
            .thenComparing(UsageFigure::service)
            .thenComparing(UsageFigure::charge);

    private final long window;
    private final Map<UsageKey, UsageAmount> incarnationRows = new HashMap<>();
    private final Map<UsageKey, UsageAmount> totals = new HashMap<>();
    private final Map<UsageKey, UsageAmount> lateRows = new HashMap<>();
    private final Map<UsageKey, UsageAmount> countedEarlier = new HashMap<>();
    private String incarnation = "";
    private long tooLate;

    public UsageReportBuilder(long window) {
        this.window = window;
    }

    /** Adds a row that was flushed in the window; its own window may be an earlier one. */
    public void add(UsageRow row) {
        if (!row.key().incarnation().equals(incarnation)) {
            addIncarnationToTotals();
            incarnation = row.key().incarnation();
        }
        if (row.key().window() < window) {
            lateRows.merge(row.key(), row.amount(), UsageAmount::maximum);
        } else {
            incarnationRows.merge(row.key(), row.amount(), UsageAmount::maximum);
        }
    }

    /** Returns the incarnations with late rows, each with the oldest window of these rows. */
    public Map<String, Long> lateIncarnations() {
        Map<String, Long> oldestWindows = new TreeMap<>();
        lateRows.keySet().forEach(key -> oldestWindows.merge(key.incarnation(), key.window(), Math::min));
        return oldestWindows;
    }

    /** Adds a row that an earlier window already contains, to be subtracted from the late rows of the same key. */
    public void addCountedEarlier(UsageRow row) {
        if (lateRows.containsKey(row.key())) {
            countedEarlier.merge(row.key(), row.amount(), UsageAmount::maximum);
        }
    }

    /** Excludes late rows of windows whose own rows are already deleted, because their earlier amounts are unknown. */
    public void excludeThrough(long removedThrough) {
        lateRows.entrySet().removeIf(entry -> {
            boolean removed = entry.getKey().window() <= removedThrough;
            tooLate += removed ? entry.getValue().answers() : 0;
            return removed;
        });
    }

    /** Returns the number of responses in the excluded rows. */
    public long excludedResponses() {
        return tooLate;
    }

    /** Returns the report; its figures are sorted, so that all processes build the same report from the same rows. */
    public UsageReport build(long windowMilliseconds) {
        addIncarnationToTotals();
        Map<UsageKey, UsageAmount> corrections = new HashMap<>();
        lateRows.forEach((key, amount) -> {
            UsageAmount uncounted = amount.excessOver(countedEarlier.getOrDefault(key, UsageAmount.ZERO));
            if (!uncounted.equals(UsageAmount.ZERO)) {
                corrections.merge(withoutIncarnation(key), uncounted, UsageAmount::plus);
            }
        });
        return new UsageReport(window, windowMilliseconds, figures(totals), figures(corrections));
    }

    private void addIncarnationToTotals() {
        incarnationRows.forEach((key, amount) -> totals.merge(withoutIncarnation(key), amount, UsageAmount::plus));
        incarnationRows.clear();
    }

    private static UsageKey withoutIncarnation(UsageKey key) {
        return new UsageKey(key.window(), "", key.clientAccount(), key.service(), key.charge());
    }

    private static List<UsageFigure> figures(Map<UsageKey, UsageAmount> amounts) {
        Set<UsageFigure> sorted = new TreeSet<>(REPORT_ORDER);
        amounts.forEach((key, amount) ->
                sorted.add(new UsageFigure(key.window(), key.clientAccount(), key.service(), key.charge(), amount)));
        return new ArrayList<>(sorted);
    }
}
