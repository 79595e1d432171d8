package io.fireflywalk.benchmark.configuration;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.List;
import java.util.Locale;

/**
 * Measures how fast configuration changes and revocations take effect, and what coordination costs each instance and
 * the store. Runs in virtual time over simulated peer calls with real encoding.
 */
public final class ConfigurationBenchmark {
    /** Options of the command line. */
    static final class Options {
        @Parameter(names = "--sizes", description = "Fleet sizes, in members")
        List<Integer> sizes = List.of(8, 32, 128, 410);

        @Parameter(names = "--changes", description = "Revocations per size and condition")
        int changes = 100;

        @Parameter(names = "--loss", description = "Fraction of peer messages lost in the second condition")
        double loss = 0.05;

        @Parameter(names = "--seed", description = "Random seed")
        long seed = 1;
    }

    private ConfigurationBenchmark() {}

    /** Prints one Markdown table row per fleet size and message loss. */
    public static void main(String[] arguments) {
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse(arguments);
        System.out.println(
                "| members | loss | changes | in force p50 ms | p99 ms | worst ms | acknowledged p99 ms | worst ms"
                        + " | bytes/s mean | bytes/s largest | messages/s mean | processor percent mean"
                        + " | store reads/s | store writes/s | unserved checks |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        for (double loss : new double[] {0, options.loss}) {
            for (int size : options.sizes) {
                print(size, loss, new FleetMeasurement(options.seed, size, loss).run(options.changes));
            }
        }
    }

    private static void print(int size, double loss, FleetMeasurement.Result result) {
        System.out.printf(
                Locale.ROOT,
                "| %d | %.2f | %d | %d | %d | %d | %d | %d | %.0f | %.0f | %.1f | %.2f | %.1f | %.2f | %d |%n",
                size,
                loss,
                result.propagation().getTotalCount(),
                result.propagation().getValueAtPercentile(50),
                result.propagation().getValueAtPercentile(99),
                result.propagation().getMaxValue(),
                result.acknowledgement().getValueAtPercentile(99),
                result.acknowledgement().getMaxValue(),
                result.meanBytesPerSecond(),
                result.largestBytesPerSecond(),
                result.meanMessagesPerSecond(),
                result.processorPercent(),
                result.storeReadsPerSecond(),
                result.storeWritesPerSecond(),
                result.notServingChecks());
    }
}
