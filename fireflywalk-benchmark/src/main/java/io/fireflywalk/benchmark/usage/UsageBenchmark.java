package io.fireflywalk.benchmark.usage;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Command line of the measurements of usage and claims. */
public final class UsageBenchmark {
    /** Requests per second and instance at the target size: 32,000 over 410 instances. */
    private static final double REQUESTS_PER_INSTANCE = 32_000.0 / 410;

    private UsageBenchmark() {}

    /** Options of the store-writes command. */
    static final class StoreWrites {
        @Parameter(names = "--sizes", description = "Numbers of instances")
        List<Integer> sizes = List.of(9, 36, 144, 410);

        @Parameter(names = "--seconds", description = "Simulated seconds per size, after the warm-up")
        int seconds = 30;

        @Parameter(names = "--claimed-fraction", description = "Share of requests with an Idempotency-Key header")
        double claimedFraction = 0.02;
    }

    /** Options of the hold command. */
    static final class Hold {
        @Parameter(names = "--instances", description = "Number of instances")
        int instances = 9;

        @Parameter(names = "--rate", description = "Answers per second of the whole fleet")
        int rate = 1000;

        @Parameter(names = "--seconds", description = "Measured seconds per repeat")
        int seconds = 5;

        @Parameter(names = "--repeats", description = "Repeats of each case")
        int repeats = 5;
    }

    /** Runs the command that the arguments name. */
    public static void main(String[] arguments) throws Exception {
        StoreWrites storeWrites = new StoreWrites();
        Hold hold = new Hold();
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

    private static void run(StoreWrites options) {
        // Each size is a simulation of its own on simulated time, so the sizes may run side by side.
        List<FleetSimulation.Figures> results = options.sizes.parallelStream()
                .map(size ->
                        new FleetSimulation(size, REQUESTS_PER_INSTANCE, options.claimedFraction).run(options.seconds))
                .toList();
        results.forEach(figures -> System.out.println(figures.text()));
        print("usage transactions/s", results, FleetSimulation.Figures::usageTransactions);
        print("usage rows/s", results, FleetSimulation.Figures::usageRows);
        print("claim transactions/s", results, FleetSimulation.Figures::claimTransactions);
        print("claim rows/s", results, FleetSimulation.Figures::claimRows);
    }

    private static void print(
            String name, List<FleetSimulation.Figures> results, ToDoubleFunction<FleetSimulation.Figures> figure) {
        double[] sizes =
                results.stream().mapToDouble(FleetSimulation.Figures::instances).toArray();
        double[] values = results.stream().mapToDouble(figure).toArray();
        System.out.println("fit " + name + " = " + LinearFit.of(sizes, values).text());
    }
}
