package io.fireflywalk.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/** Observed times from the dispatch of a request to its response, by route. Not thread-safe. */
public final class ResponseTimes {
    private static final int MAXIMUM_ROUTES = 1024;
    private static final double LATEST_WEIGHT = 0.1;

    private final Map<String, Times> byRoute = new LinkedHashMap<>();

    /** Moving averages in nanoseconds; 0 if not known. */
    public record Times(long toStart, long toEnd) {
        private static final Times UNKNOWN = new Times(0, 0);
    }

    /** Records an answered request. */
    public void record(String route, long toStart, long toEnd) {
        Times known = byRoute.get(route);
        if (known == null && byRoute.size() >= MAXIMUM_ROUTES) {
            return;
        }
        byRoute.put(
                route,
                known == null
                        ? new Times(toStart, toEnd)
                        : new Times(average(known.toStart(), toStart), average(known.toEnd(), toEnd)));
    }

    /** Returns the average times of a route. */
    public Times of(String route) {
        return byRoute.getOrDefault(route, Times.UNKNOWN);
    }

    private static long average(long known, long latest) {
        return known + (long) (LATEST_WEIGHT * (latest - known));
    }
}
