package io.fireflywalk.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Arrival times of refused requests that can be recognised when their callers send them again, so that these keep their
 * rank. Bounded: the oldest one is forgotten first. Not thread-safe.
 */
public final class ReturningRequests {
    private static final int MAXIMUM_REQUESTS = 1024;
    /** A caller that waits longer is past its deadline. */
    private static final long LIFETIME_NANOSECONDS = 10_000_000_000L;

    private final Map<Long, Long> arrivals = new LinkedHashMap<>();

    /** Remembers a refused request by a hash that its repeat has as well; one that had been refused before keeps its first arrival. */
    public void recordRefusal(long request, long rankedAt) {
        arrivals.remove(request);
        if (arrivals.size() >= MAXIMUM_REQUESTS) {
            arrivals.remove(arrivals.keySet().iterator().next());
        }
        arrivals.put(request, rankedAt);
    }

    /** Returns the time that ranks a request, which is that of its first arrival, and forgets it. */
    public long takeRank(long request, long arrivedAt) {
        Long first = arrivals.remove(request);
        return first == null || arrivedAt - first > LIFETIME_NANOSECONDS ? arrivedAt : Math.min(first, arrivedAt);
    }

    /** Returns the number of remembered requests. */
    public int size() {
        return arrivals.size();
    }
}
