package io.fireflywalk.benchmark.policy;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Command line of the policy benchmarks. Prints the report and, if it has a name, writes it with a plot. */
public final class PolicyMain {
    private PolicyMain() {}

    /** Options of the command line. */
    static final class Options {
        @Parameter(names = "--measure", description = "shifts, shares, faults or cost", required = true)
        String measure;

        @Parameter(names = "--seed", description = "first seed")
        long seed = 1;

        @Parameter(names = "--seeds", description = "number of seeds")
        int seeds = 5;

        @Parameter(names = "--load", description = "load factor relative to the normal load")
        double load = 1;

        @Parameter(names = "--deployment", description = "deployments to simulate")
        List<Deployment> deployments = List.of(Deployment.values());

        @Parameter(names = "--name", description = "base name of the report and plot files; empty to print only")
        String name = "";

        @Parameter(names = "--directory", description = "output directory")
        Path directory = Path.of("bench", "results");
    }

    /** Runs the measurement that the arguments name. */
    public static void main(String[] arguments) throws IOException {
        Options options = new Options();
        JCommander.newBuilder().programName("policy").addObject(options).build().parse(arguments);
        MeasurementResult result =
                switch (options.measure) {
                    case "shifts" ->
                        ShiftMeasurement.run(options.seed, options.seeds, options.load, options.deployments);
                    case "shares" -> ShareMeasurement.run(options.seed, options.seeds, options.load);
                    case "faults" -> FaultMeasurement.run(options.seed, options.seeds, options.load);
                    case "cost" -> DecisionCost.run(options.seed);
                    default -> throw new IllegalArgumentException("unknown measurement " + options.measure);
                };
        String command = "io.fireflywalk.benchmark.policy.PolicyMain " + String.join(" ", arguments);
        String text = "command: " + command + "\n" + result.report();
        System.out.print(text);
        if (!options.name.isEmpty()) {
            Files.createDirectories(options.directory);
            Files.writeString(options.directory.resolve(options.name + ".txt"), text);
            Files.writeString(options.directory.resolve(options.name + ".svg"), result.plot());
        }
    }
}
