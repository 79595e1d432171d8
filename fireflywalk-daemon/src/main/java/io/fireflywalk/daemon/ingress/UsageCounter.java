package io.fireflywalk.daemon.ingress;

import io.fireflywalk.services.time.TimerService;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts requests by usage window and client account. Confined to one event loop. */
final class UsageCounter {
    private static final int MAXIMUM_WINDOWS = 64;

    private final TimerService timers;
    private final long windowMilliseconds;
    private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();

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

    /** Removes the counts of a window that has been stored. */
    void remove(long window) {
        windows.remove(window);
    }
}
