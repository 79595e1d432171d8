package io.fireflywalk.core.placement;

import java.util.List;

/**
 * Least, greatest and expected work over the recent window.
 *
 * @param leastPrefill least prefill work in the window
 * @param leastDecode least decode work in the window
 * @param present mean work over the last samples
 * @param peak greatest total work in the window
 * @param expected total work when a target ordered now would be delivered
 */
public record DemandForecast(double leastPrefill, double leastDecode, Work present, double peak, double expected) {
    /** Samples averaged before extremes are taken, so that the noise of single samples causes no change. */
    private static final int SMOOTHING_SAMPLES = 6;
    /** Samples over which the trend is taken. */
    private static final int TREND_SAMPLES = 24;

    /** Returns the forecast for a demand. */
    public static DemandForecast of(ModelDemand demand, PlacementSettings settings) {
        List<Work> history = demand.history();
        if (history.isEmpty()) {
            return new DemandForecast(0, 0, new Work(0, 0), 0, 0);
        }
        int from = Math.max(0, history.size() - settings.windowSamples());
        double leastPrefill = Double.POSITIVE_INFINITY;
        double leastDecode = Double.POSITIVE_INFINITY;
        double peak = 0;
        int firstEnd = Math.min(history.size(), from + SMOOTHING_SAMPLES);
        for (int end = firstEnd; end <= history.size(); end++) {
            Work mean = mean(history, end);
            leastPrefill = Math.min(leastPrefill, mean.prefill());
            leastDecode = Math.min(leastDecode, mean.decode());
            peak = Math.max(peak, mean.total());
        }
        Work present = mean(history, history.size());
        int trendFrom = Math.max(SMOOTHING_SAMPLES, history.size() - TREND_SAMPLES);
        double slope = 0;
        if (trendFrom < history.size()) {
            slope = (present.total() - mean(history, trendFrom).total()) / (history.size() - trendFrom);
        }
        double lead = settings.orderLeadSeconds() / settings.samplePeriodSeconds();
        double expected = Math.max(present.total(), present.total() + slope * lead);
        return new DemandForecast(leastPrefill, leastDecode, present, peak, expected);
    }

    private static Work mean(List<Work> history, int end) {
        List<Work> part = history.subList(Math.max(0, end - SMOOTHING_SAMPLES), end);
        double prefill = part.stream().mapToDouble(Work::prefill).sum() / part.size();
        double decode = part.stream().mapToDouble(Work::decode).sum() / part.size();
        return new Work(prefill, decode);
    }
}
