package io.fireflywalk.benchmark.requestpath;

import io.fireflywalk.services.time.TimerService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures the latency of short requests to a plain service in passes that alternate between direct calls and calls
 * through the daemon. Confined to one event loop.
 */
final class LatencyMeasurement {
    private static final int CONNECTIONS = 256;
    private static final int STATUS_OK = 200;

    private final TimerService timers;
    private final MeasuredSystem system;
    private final HttpClient client;

    LatencyMeasurement(Vertx vertx, TimerService timers, MeasuredSystem system) {
        this.timers = timers;
        this.system = system;
        this.client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(CONNECTIONS));
    }

    /** Result of one pass; {@code way} is "direct" or "through" the daemon. */
    record Pass(
            String way, int repeat, long requests, long failures, double medianMilliseconds, double p99Milliseconds) {}

    Future<List<Pass>> run(double requestsPerSecond, Duration duration, int repeats, long seed) {
        Future<List<Pass>> passes = Future.succeededFuture(new ArrayList<>());
        // Repeat 0 is a warm-up of both paths and is not recorded.
        for (int repeat = 0; repeat <= repeats; repeat++) {
            int currentRepeat = repeat;
            passes = passes.compose(
                            results -> pass("direct", currentRepeat, requestsPerSecond, duration, seed, results))
                    .compose(results -> pass("through", currentRepeat, requestsPerSecond, duration, seed, results));
        }
        return passes;
    }

    private Future<List<Pass>> pass(
            String way, int repeat, double requestsPerSecond, Duration duration, long seed, List<Pass> results) {
        int port = way.equals("direct") ? system.plainPort() : system.callerPort();
        OpenLoopLoad load = new OpenLoopLoad(timers, requestsPerSecond, seed + repeat, () -> request(port));
        return load.run(duration).map(outcome -> {
            var latency = outcome.latencyMicroseconds();
            if (repeat > 0) {
                results.add(new Pass(
                        way,
                        repeat,
                        latency.getTotalCount(),
                        outcome.failures(),
                        latency.getValueAtPercentile(50) / 1000.0,
                        latency.getValueAtPercentile(99) / 1000.0));
            }
            return results;
        });
    }

    private Future<?> request(int port) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(MeasuredSystem.HOST)
                .setPort(port)
                .setURI("/billing/status")
                .putHeader("authorization", "Bearer " + MeasuredSystem.BEARER_TOKEN);
        return client.request(options)
                .compose(request -> request.send())
                .compose(response -> response.statusCode() == STATUS_OK
                        ? response.body()
                        : Future.failedFuture("unexpected status " + response.statusCode()));
    }
}
