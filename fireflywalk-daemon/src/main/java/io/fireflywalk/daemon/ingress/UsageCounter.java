package io.fireflywalk.daemon.ingress;

import io.fireflywalk.services.time.TimerService;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts requests by usage window and client account. Confined to one event loop. */
final class UsageCounter {
    private static final int MAXIMUM_WINDOWS = 64;
    /** Windows that may still be reported, and those that are being closed. */
    private static final int STORED_WINDOWS = 8;

    private final TimerService timers;
    private final long windowMilliseconds;
    private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();
    /** Counts that have been stored, of the newest windows. */
    private final TreeMap<Long, Map<String, Long>> stored = new TreeMap<>();

    UsageCounter(TimerService timers, long windowMilliseconds) {
        this.timers = timers;
        this.windowMilliseconds = windowMilliseconds;
    }

    /** Counts a request of the client account that a target has started to run. */
    void requestStarted(String clientAccount) {
        windows.computeIfAbsent(currentWindow(), window -> new HashMap<>()).merge(clientAccount, 1L, Long::sum);
        if (windows.size() > MAXIMUM_WINDOWS) {
            windows.pollFirstEntry();
        }
    }

    /** Returns the number of the current window. */
    long currentWindow() {
        return timers.wallClockMilliseconds() / windowMilliseconds;
    }

    /** Returns the counts of the windows before the given one, oldest first. */
    Map<Long, Map<String, Long>> countsBefore(long window) {
        return windows.headMap(window);
    }

    /** Returns all counts, oldest window first. */
    Map<Long, Map<String, Long>> allCounts() {
        return windows;
    }

    /** Records that the counts of a window have been stored; they are kept for a while in case the store loses them. */
    void markStored(long window) {
        Map<String, Long> counts = windows.remove(window);
        if (counts != null) {
            stored.merge(window, counts, UsageCounter::sum);
        }
        while (stored.size() > STORED_WINDOWS) {
            stored.pollFirstEntry();
        }
    }

    /** Records that the store may have lost the counts that have been stored last, so that they are stored again. */
    void restoreStored() {
        stored.forEach((window, counts) -> windows.merge(window, counts, UsageCounter::sum));
        stored.clear();
    }

    private static Map<String, Long> sum(Map<String, Long> first, Map<String, Long> second) {
        Map<String, Long> total = new HashMap<>(first);
        second.forEach((account, count) -> total.merge(account, count, Long::sum));
        return total;
    }
}
