package io.fireflywalk.core.placement;

import java.util.List;

/**
 * Least, greatest and expected work over the recent window.
 *
 * @param leastPrefill least prefill work in the window
 * @param leastDecode least decode work in the window
 * @param present mean work over the last samples
 * @param least least total work in the window
 * @param peak greatest total work in the window
 * @param expected total work when a target ordered now would be delivered
 */
public record DemandForecast(
        double leastPrefill, double leastDecode, Work present, double least, double peak, double expected) {
    /** Samples averaged before extremes are taken, so that the noise of single samples causes no change. */
    private static final int SMOOTHING_SAMPLES = 6;
    /** Samples over which the trend is taken. */
    private static final int TREND_SAMPLES = 24;
    /** Part of the present work below which an expected growth is taken for noise. */
    private static final double TREND_NOISE = 0.05;

    /** Returns the forecast for a demand. */
    public static DemandForecast of(ModelDemand demand, PlacementSettings settings) {
        List<Work> history = demand.history();
        int size = history.size();
        if (size == 0) {
            return new DemandForecast(0, 0, new Work(0, 0), 0, 0, 0);
        }
        int window = Math.min(size, settings.windowSamples());
        List<Work> recent = history.subList(size - window, size);
        double[] prefill = new double[window + 1];
        double[] decode = new double[window + 1];
        for (int index = 0; index < window; index++) {
            prefill[index + 1] = prefill[index] + recent.get(index).prefill();
            decode[index + 1] = decode[index] + recent.get(index).decode();
        }
        double leastPrefill = Double.POSITIVE_INFINITY;
        double leastDecode = Double.POSITIVE_INFINITY;
        double least = Double.POSITIVE_INFINITY;
        double peak = 0;
        for (int end = Math.min(window, SMOOTHING_SAMPLES); end <= window; end++) {
            Work mean = mean(prefill, decode, end);
            leastPrefill = Math.min(leastPrefill, mean.prefill());
            leastDecode = Math.min(leastDecode, mean.decode());
            least = Math.min(least, mean.total());
            peak = Math.max(peak, mean.total());
        }
        Work present = mean(prefill, decode, window);
        int trendFrom = Math.max(Math.min(window, SMOOTHING_SAMPLES), window - TREND_SAMPLES);
        double slope = trendFrom == window
                ? 0
                : (present.total() - mean(prefill, decode, trendFrom).total()) / (window - trendFrom);
        double lead = settings.orderLeadSeconds() / settings.samplePeriodSeconds();
        double growth = slope * lead;
        double expected = present.total() + (growth > TREND_NOISE * present.total() ? growth : 0);
        return new DemandForecast(leastPrefill, leastDecode, present, least, peak, expected);
    }

    private static Work mean(double[] prefill, double[] decode, int end) {
        int from = Math.max(0, end - SMOOTHING_SAMPLES);
        int count = end - from;
        return new Work((prefill[end] - prefill[from]) / count, (decode[end] - decode[from]) / count);
    }
}
