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
 * Adds up the figures of one window from its flushed rows, which must arrive grouped by incarnation, so that only one
 * incarnation's rows are in memory. Rows of earlier windows are corrections: only what exceeds the amounts that earlier
 * windows hold of the same key counts. Not thread-safe.
 */
public final class FigureBuilder {
    private static final Comparator<UsageFigure> ORDER = Comparator.comparingLong(UsageFigure::window)
            .thenComparing(UsageFigure::clientAccount)
            .thenComparing(UsageFigure::service)
            .thenComparing(UsageFigure::charge);

    private final long window;
    private final Map<UsageKey, UsageAmount> current = new HashMap<>();
    private final Map<UsageKey, UsageAmount> totals = new HashMap<>();
    private final Map<UsageKey, UsageAmount> late = new HashMap<>();
    private final Map<UsageKey, UsageAmount> booked = new HashMap<>();
    private String incarnation = "";
    private long tooLate;

    /** Starts the figures of a window. */
    public FigureBuilder(long window) {
        this.window = window;
    }

    /** Adds a flushed row of the window. */
    public void add(UsageRow row) {
        if (!row.key().incarnation().equals(incarnation)) {
            foldIncarnation();
            incarnation = row.key().incarnation();
        }
        if (row.key().window() < window) {
            late.merge(row.key(), row.amount(), UsageAmount::maximum);
        } else {
            current.merge(row.key(), row.amount(), UsageAmount::maximum);
        }
    }

    /** Returns the incarnations that have late rows, with the oldest window of each. */
    public Map<String, Long> lateIncarnations() {
        Map<String, Long> oldest = new TreeMap<>();
        late.keySet().forEach(key -> oldest.merge(key.incarnation(), key.window(), Math::min));
        return oldest;
    }

    /** Adds a flushed row that an earlier window holds. */
    public void addBooked(UsageRow row) {
        if (late.containsKey(row.key())) {
            booked.merge(row.key(), row.amount(), UsageAmount::maximum);
        }
    }

    /** Leaves out the late rows of windows whose own rows are removed, because their earlier amounts are not known. */
    public void leaveOutThrough(long removedThrough) {
        late.entrySet().removeIf(entry -> {
            boolean removed = entry.getKey().window() <= removedThrough;
            tooLate += removed ? entry.getValue().answers() : 0;
            return removed;
        });
    }

    /** Returns the answers in rows that were left out. */
    public long tooLate() {
        return tooLate;
    }

    /** Returns the figures in a fixed order, so that two processes that read the same rows get the same report. */
    public UsageReport build(long windowMilliseconds) {
        foldIncarnation();
        Map<UsageKey, UsageAmount> corrections = new HashMap<>();
        late.forEach((key, amount) -> {
            UsageAmount excess = amount.excessOver(booked.getOrDefault(key, UsageAmount.ZERO));
            if (!excess.equals(UsageAmount.ZERO)) {
                corrections.merge(withoutIncarnation(key), excess, UsageAmount::plus);
            }
        });
        return new UsageReport(window, windowMilliseconds, figures(totals), figures(corrections));
    }

    private void foldIncarnation() {
        current.forEach((key, amount) -> totals.merge(withoutIncarnation(key), amount, UsageAmount::plus));
        current.clear();
    }

    private static UsageKey withoutIncarnation(UsageKey key) {
        return new UsageKey(key.window(), "", key.clientAccount(), key.service(), key.charge());
    }

    private static List<UsageFigure> figures(Map<UsageKey, UsageAmount> amounts) {
        Set<UsageFigure> ordered = new TreeSet<>(ORDER);
        amounts.forEach((key, amount) ->
                ordered.add(new UsageFigure(key.window(), key.clientAccount(), key.service(), key.charge(), amount)));
        return new ArrayList<>(ordered);
    }
}
