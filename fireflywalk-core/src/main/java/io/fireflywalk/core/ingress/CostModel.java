package io.fireflywalk.core.ingress;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns how long the requests of each route take at an idle target of usual speed, and the spread of these times. The
 * size of a request sets the ratio between requests of one route. Not thread-safe.
 */
final class CostModel {
    /** Bounds the memory if a configuration names very many routes; the route added first is dropped. */
    private static final int MAXIMUM_ROUTES = 1024;

    private static final double HALF_LIFE_MILLISECONDS = 20_000;
    /** Fraction of the objective that a request of an unknown route is assumed to take. */
    private static final double PRIOR_OBJECTIVE_FRACTION = 0.4;
    /** Time of a generated token on the engines' data sheet, relative to the prefill times of the latency model. */
    private static final double MILLISECONDS_PER_GENERATED_TOKEN = 12;

    /** Low, because the prior is a guess, which the first observations replace. */
    private static final double PRIOR_WEIGHT = 0.2;
    /** Number of observations after which the time of a request tells more about its target than about its route. */
    private static final double KNOWN_WEIGHT = 5;

    private static final double MINIMUM_MILLISECONDS = 1;
    private static final double MAXIMUM_MILLISECONDS = 60_000;

    /** Cannot end a route's own name, so that both kinds of requests of a route are learned separately. */
    private static final String PREFILLED_SUFFIX = "\nprefilled";

    private final RunnerLatencyModel latencyModel;
    private final Map<String, DecayingAverage> ratios = new LinkedHashMap<>();

    CostModel(RunnerLatencyModel latencyModel) {
        this.latencyModel = latencyModel;
    }

    /**
     * Returns the cost of a request.
     *
     * @param prefilled true if another runner has processed the prompt, whose KV cache only has to be fetched
     */
    RequestCost cost(HostRoute route, String service, RequestDescription description, boolean prefilled) {
        double objective = (double) route.latencyObjective().toMillis();
        double model = description.promptTokens() == 0
                ? Math.max(MINIMUM_MILLISECONDS, PRIOR_OBJECTIVE_FRACTION * objective)
                : (prefilled
                                ? latencyModel.fetchMilliseconds(description.promptTokens(), false)
                                : latencyModel.prefillMilliseconds(description.promptTokens(), 0, true))
                        + MILLISECONDS_PER_GENERATED_TOKEN * description.maximumGeneratedTokens();
        String key = prefilled ? route.name() + PREFILLED_SUFFIX : route.name();
        DecayingAverage ratio = ratios.get(key);
        double expected = model * (ratio == null ? 1 : ratio.mean());
        return new RequestCost(
                key,
                service,
                model,
                Math.max(MINIMUM_MILLISECONDS, Math.min(MAXIMUM_MILLISECONDS, expected)),
                prefilled);
    }

    /** Records the time that a request would have taken at an idle target of usual speed. */
    void observe(RequestCost cost, double milliseconds, long now) {
        DecayingAverage ratio = ratios.get(cost.key());
        if (ratio == null) {
            if (ratios.size() >= MAXIMUM_ROUTES) {
                ratios.remove(ratios.keySet().iterator().next());
            }
            ratio = new DecayingAverage(1, 1, PRIOR_WEIGHT, HALF_LIFE_MILLISECONDS);
            ratios.put(cost.key(), ratio);
        }
        ratio.add(milliseconds / cost.modelMilliseconds(), now);
    }

    /** Tells whether enough requests of the route have been observed to compare targets by their times. */
    boolean known(RequestCost cost) {
        DecayingAverage ratio = ratios.get(cost.key());
        return ratio != null && ratio.weight() >= KNOWN_WEIGHT;
    }

    /** Returns the standard deviation of a request's time. */
    double spreadMilliseconds(RequestCost cost) {
        DecayingAverage ratio = ratios.get(cost.key());
        return cost.modelMilliseconds() * (ratio == null ? 1 : Math.sqrt(ratio.variance()));
    }
}
