package io.fireflywalk.core.admission;

import java.util.HashMap;
import java.util.Map;

/** Rates of completions by service. Not thread-safe. */
public final class CompletionRates {
    private static final int MAXIMUM_SERVICES = 1024;

    private final Map<String, CompletionRate> rates = new HashMap<>();

    /** Records a completed request of the service. */
    public void record(String service, long now) {
        if (rates.size() >= MAXIMUM_SERVICES && !rates.containsKey(service)) {
            rates.clear();
        }
        rates.computeIfAbsent(service, name -> new CompletionRate()).record(now);
    }

    /** Returns the completions of the service per second, or 0 if the rate is not known. */
    public double perSecond(String service, long now) {
        CompletionRate rate = rates.get(service);
        return rate == null ? 0 : rate.perSecond(now);
    }
}
