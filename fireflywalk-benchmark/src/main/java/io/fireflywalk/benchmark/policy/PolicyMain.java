package io.fireflywalk.benchmark.policy;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Command line of the policy measurements. Prints the record and writes it with a plot. */
public final class PolicyMain {
    private PolicyMain() {}

    /** Options of the measurements. */
    static final class Options {
        @Parameter(names = "--measure", description = "shifts, shares, faults or cost", required = true)
        String measure;

        @Parameter(names = "--seed", description = "first seed")
        long seed = 1;

        @Parameter(names = "--seeds", description = "number of seeds")
        int seeds = 5;

        @Parameter(names = "--load", description = "load relative to the usual one")
        double load = 1;

        @Parameter(names = "--deployment", description = "deployment whose load is used")
        List<Deployment> deployments = List.of(Deployment.values());

        @Parameter(names = "--name", description = "name of the record; empty to print only")
        String name = "";

        @Parameter(names = "--directory", description = "directory of the record")
        Path directory = Path.of("bench", "results");
    }

    /** Runs the measurement that the arguments name. */
    public static void main(String[] arguments) throws IOException {
        Options options = new Options();
        JCommander.newBuilder().programName("policy").addObject(options).build().parse(arguments);
        Measurement measurement =
                switch (options.measure) {
                    case "shifts" ->
                        ShiftMeasurement.run(options.seed, options.seeds, options.load, options.deployments);
                    case "shares" -> ShareMeasurement.run(options.seed, options.seeds, options.load);
                    case "faults" -> FaultMeasurement.run(options.seed, options.seeds, options.load);
                    case "cost" -> DecisionCost.run(options.seed);
                    default -> throw new IllegalArgumentException("unknown measurement " + options.measure);
                };
        String command = "io.fireflywalk.benchmark.policy.PolicyMain " + String.join(" ", arguments);
        String text = "command: " + command + "\n" + measurement.text();
        System.out.print(text);
        if (!options.name.isEmpty()) {
            Files.createDirectories(options.directory);
            Files.writeString(options.directory.resolve(options.name + ".txt"), text);
            Files.writeString(options.directory.resolve(options.name + ".svg"), measurement.plot());
        }
    }
}
