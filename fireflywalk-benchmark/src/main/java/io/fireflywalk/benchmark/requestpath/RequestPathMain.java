package io.fireflywalk.benchmark.requestpath;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.fireflywalk.benchmark.record.RunRecord;
import io.fireflywalk.services.time.VertxTimerService;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

/** Command line of the request path benchmark. */
public final class RequestPathMain {
    /** Keeps the streams per engine below the capacity that routing assumes for a runner. */
    private static final int ENGINES = 24;

    private static final Duration SETTLE_TIME = Duration.ofSeconds(20);

    private RequestPathMain() {}

    /** Options of the command line. */
    static final class Options {
        @Parameter(names = "--rate", description = "Short requests per second")
        double rate = 1000;

        @Parameter(names = "--seconds", description = "Seconds per pass")
        int seconds = 5;

        @Parameter(names = "--repeats", description = "Passes per path, excluding the warm-up")
        int repeats = 5;

        @Parameter(names = "--streams", description = "Number of concurrent streams")
        int streams = 2000;

        @Parameter(names = "--token-milliseconds", description = "Time between tokens, in milliseconds")
        long tokenMilliseconds = 40;

        @Parameter(names = "--seed", description = "Seed of the arrival times")
        long seed = 1;

        @Parameter(names = "--record", description = "File for the result record")
        Path record = Path.of("bench/results/request-path.json");
    }

    /** Measured values of a run, as written to the record. */
    record Figures(List<LatencyMeasurement.Pass> latency, StreamMeasurement.Figures streams) {}

    /** Runs the measurements and writes the record. */
    public static void main(String[] arguments) throws Exception {
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse(arguments);
        Vertx vertx = Vertx.vertx();
        Context context = vertx.getOrCreateContext();
        VertxTimerService timers = new VertxTimerService(vertx, context);
        try (MeasuredSystem system = new MeasuredSystem(vertx, timers, ENGINES, options.tokenMilliseconds)) {
            LatencyMeasurement latency = new LatencyMeasurement(vertx, timers, system);
            List<LatencyMeasurement.Pass> passes = await(
                    context,
                    () -> latency.run(
                            options.rate, Duration.ofSeconds(options.seconds), options.repeats, options.seed));
            passes.forEach(System.out::println);
            StreamMeasurement streams = new StreamMeasurement(vertx, timers, system, options.streams);
            Duration window = Duration.ofSeconds(options.seconds);
            int tokens = (int) (SETTLE_TIME.plus(window).toMillis() / options.tokenMilliseconds + 100);
            StreamMeasurement.Figures figures =
                    await(context, () -> streams.run(options.streams, tokens, SETTLE_TIME, window));
            System.out.println(figures);
            String command = "request-path " + String.join(" ", arguments);
            RunRecord.of("request-path", command, options.seed, new Figures(passes, figures))
                    .write(options.record);
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    private static <T> T await(Context context, Supplier<Future<T>> operation) {
        return Future.<T>future(promise ->
                        context.runOnContext(ignored -> operation.get().onComplete(promise)))
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }
}
