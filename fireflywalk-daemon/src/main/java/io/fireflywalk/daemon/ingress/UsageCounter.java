package io.fireflywalk.daemon.ingress;

import io.fireflywalk.services.time.TimerService;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts begun requests by usage window and client account. Confined to one event loop. */
final class UsageCounter {
    private static final int MAXIMUM_WINDOWS = 64;

    private final TimerService timers;
    private final long windowMilliseconds;
    private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();

    UsageCounter(TimerService timers, long windowMilliseconds) {
        this.timers = timers;
        this.windowMilliseconds = windowMilliseconds;
    }

    /** Notes that a target began to run a request of the client account. */
    void requestBegan(String clientAccount) {
        windows.computeIfAbsent(currentWindow(), window -> new HashMap<>()).merge(clientAccount, 1L, Long::sum);
        if (windows.size() > MAXIMUM_WINDOWS) {
            windows.pollFirstEntry();
        }
    }

    /** Returns the number of the present window. */
    long currentWindow() {
        return timers.wallClockMilliseconds() / windowMilliseconds;
    }

    /** Returns the counts of the windows before the given one, oldest first. */
    Map<Long, Map<String, Long>> before(long window) {
        return windows.headMap(window);
    }

    /** Returns all counts, oldest window first. */
    Map<Long, Map<String, Long>> all() {
        return windows;
    }

    /** Forgets windows that have been stored. */
    void forget(long window) {
        windows.remove(window);
    }
}
