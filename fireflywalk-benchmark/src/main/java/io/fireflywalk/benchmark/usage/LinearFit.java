package io.fireflywalk.benchmark.usage;

import java.util.Locale;

/** Least-squares line through measured points. */
record LinearFit(double intercept, double slope, double rSquared) {

    static LinearFit of(double[] xs, double[] ys) {
        double meanX = mean(xs);
        double meanY = mean(ys);
        double covariance = 0;
        double varianceX = 0;
        double varianceY = 0;
        for (int i = 0; i < xs.length; i++) {
            covariance += (xs[i] - meanX) * (ys[i] - meanY);
            varianceX += (xs[i] - meanX) * (xs[i] - meanX);
            varianceY += (ys[i] - meanY) * (ys[i] - meanY);
        }
        double slope = covariance / varianceX;
        double rSquared = varianceY == 0 ? 1 : covariance * covariance / (varianceX * varianceY);
        return new LinearFit(meanY - slope * meanX, slope, rSquared);
    }

    String text() {
        return String.format(Locale.ROOT, "%.3f + %.5f x instances, R2 %.3f", intercept, slope, rSquared);
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }
}
