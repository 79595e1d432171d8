package io.fireflywalk.core.ingress;

/**
 * Mean and variance of values that arrive at irregular times; a value's weight halves with each half-life. A prior
 * value counts as much as a number of observations. Not thread-safe.
 */
final class DecayingAverage {
    /** Bounds the weight of a burst of values that arrive at one time, so that later values still count. */
    private static final double MAXIMUM_WEIGHT = 1e6;

    private final double prior;
    private final double priorVariance;
    private final double priorWeight;
    private final double halfLifeNanoseconds;
    private double weight;
    private double sum;
    private double squares;
    private long updatedAt;

    DecayingAverage(double prior, double priorVariance, double priorWeight, double halfLifeMilliseconds) {
        this.prior = prior;
        this.priorVariance = priorVariance;
        this.priorWeight = priorWeight;
        this.halfLifeNanoseconds = halfLifeMilliseconds * 1e6;
    }

    void add(double value, long now) {
        double kept = weight == 0 ? 0 : decay(now);
        weight = Math.min(MAXIMUM_WEIGHT, weight * kept) + 1;
        sum = sum * kept + value;
        squares = squares * kept + value * value;
        updatedAt = Math.max(updatedAt, now);
    }

    private double decay(long now) {
        return Math.exp(-Math.log(2) * Math.max(0, now - updatedAt) / halfLifeNanoseconds);
    }

    /** Returns the mean of the recent values and the prior. */
    double mean() {
        return mean(prior);
    }

    /** Returns the mean, with another prior. */
    double mean(double otherPrior) {
        return (sum + priorWeight * otherPrior) / (weight + priorWeight);
    }

    /** Returns the mean after some time without values, during which it returns to the prior. */
    double mean(double otherPrior, long now) {
        double kept = weight == 0 ? 0 : decay(now);
        return (sum * kept + priorWeight * otherPrior) / (weight * kept + priorWeight);
    }

    /** Returns the variance of the recent values and the prior. */
    double variance() {
        double mean = mean();
        double meanSquare = (squares + priorWeight * (prior * prior + priorVariance)) / (weight + priorWeight);
        return Math.max(0, meanSquare - mean * mean);
    }

    /** Returns the weight of the values as of the latest one, of which each counted 1. */
    double weight() {
        return weight;
    }

    boolean empty() {
        return weight == 0;
    }
}
