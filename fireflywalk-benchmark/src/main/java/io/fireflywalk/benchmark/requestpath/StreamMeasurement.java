package io.fireflywalk.benchmark.requestpath;

import io.fireflywalk.services.time.TimerService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Keeps many streams open through the daemon and measures its CPU time per token event and its heap use. */
final class StreamMeasurement {
    private static final int EVENT_MARKER_BYTES = 4;
    private static final int STATUS_OK = 200;
    private static final Pattern HEAP = Pattern.compile("fireflywalk_jvm_heap_used_bytes (\\d+)");

    private final TimerService timers;
    private final MeasuredSystem system;
    private final HttpClient client;
    private final HttpClient operatorClient;
    private long events;
    private long failures;
    private long completed;

    StreamMeasurement(Vertx vertx, TimerService timers, MeasuredSystem system, int streams) {
        this.timers = timers;
        this.system = system;
        this.client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(streams));
        this.operatorClient = vertx.createHttpClient();
    }

    /** Throughput, CPU time and heap of the daemon in the measured window. */
    record Figures(
            int streams,
            long tokenEvents,
            double seconds,
            double daemonProcessorSeconds,
            double tokenEventsPerSecond,
            double tokenEventsPerProcessorSecond,
            long heapUsedBytes,
            long completedStreams,
            long failedStreams) {}

    Future<Figures> run(int streams, int tokensPerStream, Duration settle, Duration window) {
        List<Future<?>> streamFutures = new ArrayList<>();
        for (int index = 0; index < streams; index++) {
            // Starts are spread over half of the settling time, because a burst would overflow the bounded admission
            // queue.
            Duration delay = settle.dividedBy(2).multipliedBy(index).dividedBy(streams);
            streamFutures.add(delayed(delay).compose(ignored -> openStream(tokensPerStream)));
        }
        Snapshot[] start = new Snapshot[1];
        return delayed(settle)
                .compose(ignored -> snapshot())
                .compose(first -> {
                    start[0] = first;
                    return delayed(window);
                })
                .compose(ignored -> snapshot())
                .compose(last ->
                        Future.join(streamFutures).otherwiseEmpty().map(ignored -> figures(streams, start[0], last)));
    }

    private Figures figures(int streams, Snapshot first, Snapshot last) {
        double seconds = (last.nanoseconds() - first.nanoseconds()) / 1e9;
        double processorSeconds =
                last.processorTime().minus(first.processorTime()).toMillis() / 1000.0;
        long windowEvents = last.events() - first.events();
        return new Figures(
                streams,
                windowEvents,
                seconds,
                processorSeconds,
                windowEvents / seconds,
                processorSeconds == 0 ? 0 : windowEvents / processorSeconds,
                last.heapBytes(),
                completed,
                failures);
    }

    private Future<Snapshot> snapshot() {
        return heapBytes()
                .map(heap -> new Snapshot(
                        timers.monotonicNanoseconds(), events, system.daemon().processorTime(), heap));
    }

    private Future<Long> heapBytes() {
        return operatorClient
                .request(HttpMethod.GET, system.operatorPort(), MeasuredSystem.HOST, "/metrics")
                .compose(request -> request.send().compose(HttpClientResponse::body))
                .map(body -> {
                    Matcher matcher = HEAP.matcher(body.toString());
                    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0L;
                });
    }

    private Future<Void> delayed(Duration delay) {
        return Future.future(promise -> {
            var unused = timers.after(delay).subscribe(promise::complete);
        });
    }

    private Future<?> openStream(int tokens) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(MeasuredSystem.HOST)
                .setPort(system.callerPort())
                .setURI("/v1/completions")
                .putHeader("authorization", "Bearer " + MeasuredSystem.BEARER_TOKEN);
        String body = "{\"model\":\"draft\",\"stream\":true,\"prompt\":\"x\",\"max_tokens\":" + tokens + "}";
        return client.request(options)
                .compose(request -> request.send(Buffer.buffer(body)))
                .compose(response -> {
                    if (response.statusCode() != STATUS_OK) {
                        return Future.failedFuture("unexpected status " + response.statusCode());
                    }
                    response.handler(this::countEvents);
                    return response.end();
                })
                .onSuccess(ignored -> completed++)
                .onFailure(cause -> failures++);
    }

    /** Counts the {@code id: } markers of token events. A marker that is split between two chunks is missed. */
    private void countEvents(Buffer chunk) {
        for (int index = 0; index + EVENT_MARKER_BYTES <= chunk.length(); index++) {
            if (chunk.getByte(index) == 'i'
                    && chunk.getByte(index + 1) == 'd'
                    && chunk.getByte(index + 2) == ':'
                    && chunk.getByte(index + 3) == ' ') {
                events++;
            }
        }
    }

    private record Snapshot(long nanoseconds, long events, Duration processorTime, long heapBytes) {}
}
