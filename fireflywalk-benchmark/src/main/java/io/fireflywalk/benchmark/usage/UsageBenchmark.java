package io.fireflywalk.benchmark.usage;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Command line of the usage and claim benchmarks. */
public final class UsageBenchmark {
    /** Load per instance at the target fleet size: 32,000 requests per second over 410 instances. */
    private static final double REQUESTS_PER_SECOND_PER_INSTANCE = 32_000.0 / 410;

    private UsageBenchmark() {}

    /** Options of the store-writes command. */
    static final class StoreWritesOptions {
        @Parameter(names = "--sizes", description = "Fleet sizes, in instances")
        List<Integer> sizes = List.of(9, 36, 144, 410);

        @Parameter(names = "--seconds", description = "Simulated seconds per fleet size, after the warm-up")
        int seconds = 30;

        @Parameter(names = "--claimed-fraction", description = "Fraction of requests with an Idempotency-Key header")
        double claimedFraction = 0.02;
    }

    /** Options of the hold command. */
    static final class HoldOptions {
        @Parameter(names = "--instances", description = "Number of instances")
        int instances = 9;

        @Parameter(names = "--rate", description = "Responses per second of the whole fleet")
        int rate = 1000;

        @Parameter(names = "--seconds", description = "Measured seconds per repeat")
        int seconds = 5;

        @Parameter(names = "--repeats", description = "Repeats, each with and without an unresponsive peer")
        int repeats = 5;
    }

    /** Runs the command that the arguments name, then ends the process. */
    public static void main(String[] arguments) throws Exception {
        StoreWritesOptions storeWrites = new StoreWritesOptions();
        HoldOptions hold = new HoldOptions();
        JCommander commander = JCommander.newBuilder()
                .programName("usage-benchmark")
                .addCommand("store-writes", storeWrites)
                .addCommand("hold", hold)
                .build();
        commander.parse(arguments);
        if (commander.getParsedCommand() == null) {
            commander.usage();
        } else if (commander.getParsedCommand().equals("store-writes")) {
            run(storeWrites);
        } else {
            HoldMeasurement.run(hold.instances, hold.rate, hold.seconds, hold.repeats);
        }
        System.exit(0);
    }

    private static void run(StoreWritesOptions options) {
        // Each size is an independent simulation in virtual time, so the sizes can run in parallel.
        List<FleetSimulation.Figures> results = options.sizes.parallelStream()
                .map(size -> new FleetSimulation(size, REQUESTS_PER_SECOND_PER_INSTANCE, options.claimedFraction)
                        .run(options.seconds))
                .toList();
        results.forEach(figures -> System.out.println(figures.text()));
        print("usage transactions/s", results, FleetSimulation.Figures::usageTransactionsPerSecond);
        print("usage rows/s", results, FleetSimulation.Figures::usageRowsPerSecond);
        print("claim transactions/s", results, FleetSimulation.Figures::claimTransactionsPerSecond);
        print("claim rows/s", results, FleetSimulation.Figures::claimRowsPerSecond);
    }

    private static void print(
            String name, List<FleetSimulation.Figures> results, ToDoubleFunction<FleetSimulation.Figures> figure) {
        double[] sizes =
                results.stream().mapToDouble(FleetSimulation.Figures::instances).toArray();
        double[] values = results.stream().mapToDouble(figure).toArray();
        System.out.println("fit " + name + " = " + LinearFit.of(sizes, values).text());
    }
}
