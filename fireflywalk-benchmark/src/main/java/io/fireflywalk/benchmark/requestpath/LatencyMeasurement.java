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

/** Alternates short requests sent to a plain service directly and through the daemon. Confined to one event loop. */
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

    /** One pass of load on one way. */
    record Pass(
            String way, int repeat, long requests, long failures, double medianMilliseconds, double p99Milliseconds) {}

    Future<List<Pass>> run(double requestsPerSecond, Duration duration, int repeats, long seed) {
        Future<List<Pass>> passes = Future.succeededFuture(new ArrayList<>());
        // Repeat 0 warms up both ways and is left out of the record.
        for (int repeat = 0; repeat <= repeats; repeat++) {
            int number = repeat;
            passes = passes.compose(done -> pass("direct", number, requestsPerSecond, duration, seed, done))
                    .compose(done -> pass("through", number, requestsPerSecond, duration, seed, done));
        }
        return passes;
    }

    private Future<List<Pass>> pass(
            String way, int repeat, double requestsPerSecond, Duration duration, long seed, List<Pass> done) {
        int port = way.equals("direct") ? system.plainPort() : system.callerPort();
        OpenLoopLoad load = new OpenLoopLoad(timers, requestsPerSecond, seed + repeat, () -> request(port));
        return load.run(duration).map(outcome -> {
            var latency = outcome.latencyMicroseconds();
            if (repeat > 0) {
                done.add(new Pass(
                        way,
                        repeat,
                        latency.getTotalCount(),
                        outcome.failures(),
                        latency.getValueAtPercentile(50) / 1000.0,
                        latency.getValueAtPercentile(99) / 1000.0));
            }
            return done;
        });
    }

    private Future<?> request(int port) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(MeasuredSystem.HOST)
                .setPort(port)
                .setURI("/billing/status")
                .putHeader("authorization", "Bearer " + MeasuredSystem.KEY);
        return client.request(options)
                .compose(request -> request.send())
                .compose(response -> response.statusCode() == STATUS_OK
                        ? response.body()
                        : Future.failedFuture("status " + response.statusCode()));
    }
}
