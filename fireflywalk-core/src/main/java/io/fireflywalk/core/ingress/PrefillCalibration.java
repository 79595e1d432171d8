package io.fireflywalk.core.ingress;

/**
 * Learns how long the runners of a service take for a prefill, relative to the latency model, whose values hold for one
 * kind of engine only. Follows a low quantile of the observed times, because prompts of other instances that this one
 * does not know of make some of them longer, but none shorter. Not thread-safe.
 */
final class PrefillCalibration {
    /** Factor until a prefill has been observed. */
    static final double INITIAL_FACTOR = 1;

    /** Fraction of the observations that are below the learned factor. */
    private static final double QUANTILE = 0.3;
    /** Weight of an observation once there are many. */
    private static final double FINAL_STEP = 0.05;

    private static final double MINIMUM_FACTOR = 0.2;
    private static final double MAXIMUM_FACTOR = 4;

    private double factor = INITIAL_FACTOR;
    private int observations;

    /** Returns the learned time as a multiple of the model's. */
    double factor() {
        return factor;
    }

    /**
     * Records a prefill that did not wait for any known prompt.
     *
     * @param modelMilliseconds time according to the model
     */
    void observe(double modelMilliseconds, double observedMilliseconds) {
        observations++;
        double step = Math.max(FINAL_STEP, 1.0 / (observations + 1));
        boolean shorter = observedMilliseconds < factor * modelMilliseconds;
        factor *= shorter ? 1 - step * (1 - QUANTILE) : 1 + step * QUANTILE;
        factor = Math.max(MINIMUM_FACTOR, Math.min(MAXIMUM_FACTOR, factor));
    }
}
