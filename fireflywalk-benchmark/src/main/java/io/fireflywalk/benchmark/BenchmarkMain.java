package io.fireflywalk.benchmark;

import io.fireflywalk.benchmark.authority.StoreLoadBenchmark;
import io.fireflywalk.benchmark.authority.TakeoverBenchmark;
import io.fireflywalk.benchmark.configuration.ConfigurationBenchmark;
import io.fireflywalk.benchmark.configuration.RevocationBenchmark;
import io.fireflywalk.benchmark.policy.PolicyMain;
import io.fireflywalk.benchmark.requestpath.RequestPathMain;
import io.fireflywalk.benchmark.usage.UsageBenchmark;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** Entry point of all benchmarks: the first argument names the measurement, the others are its options. */
public final class BenchmarkMain {
    private static final int EXIT_USAGE = 2;

    private BenchmarkMain() {}

    /** Exits with status 2 if the first argument names no measurement. */
    public static void main(String[] arguments) throws Exception {
        Map<String, Measurement> measurements = new TreeMap<>();
        measurements.put("authority-store-load", StoreLoadBenchmark::main);
        measurements.put("authority-takeover", TakeoverBenchmark::main);
        measurements.put("configuration", ConfigurationBenchmark::main);
        measurements.put("policy", PolicyMain::main);
        measurements.put("request-path", RequestPathMain::main);
        measurements.put("revocation", RevocationBenchmark::main);
        measurements.put("usage", UsageBenchmark::main);
        if (arguments.length == 0 || !measurements.containsKey(arguments[0])) {
            System.err.println("usage: fireflywalk-benchmark MEASUREMENT [options]; measurements: "
                    + String.join(", ", measurements.keySet()));
            System.exit(EXIT_USAGE);
            return;
        }
        measurements.get(arguments[0]).run(Arrays.copyOfRange(arguments, 1, arguments.length));
    }

    @FunctionalInterface
    private interface Measurement {
        void run(String[] options) throws Exception;
    }
}
