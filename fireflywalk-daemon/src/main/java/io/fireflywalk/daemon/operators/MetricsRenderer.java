package io.fireflywalk.daemon.operators;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Renders the metrics as plain text for scraping. Stateless. */
public final class MetricsRenderer {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private MetricsRenderer() {}

    public static String render(MetricRegistry registry) {
        StringBuilder page = new StringBuilder();
        for (Map.Entry<String, Metric> entry : new TreeMap<>(registry.getMetrics()).entrySet()) {
            String name = "fireflywalk_" + entry.getKey().replaceAll("[^a-zA-Z0-9_]", "_");
            append(page, name, entry.getValue());
        }
        return page.toString();
    }

    private static void append(StringBuilder page, String name, Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            appendLine(page, name, gauge.getValue());
        } else if (metric instanceof Counter counter) {
            appendLine(page, name + "_total", counter.getCount());
        } else if (metric instanceof Sampling sampling) {
            double divisor = metric instanceof Timer ? NANOSECONDS_PER_SECOND : 1;
            Snapshot snapshot = sampling.getSnapshot();
            for (double quantile : QUANTILES) {
                appendLine(page, name + "{quantile=\"" + quantile + "\"}", snapshot.getValue(quantile) / divisor);
            }
            appendLine(page, name + "_count", ((Counting) metric).getCount());
        } else if (metric instanceof Counting counting) {
            appendLine(page, name + "_total", counting.getCount());
        }
    }

    private static void appendLine(StringBuilder page, String name, Object value) {
        page.append(String.format(Locale.ROOT, "%s %s%n", name, value));
    }
}
