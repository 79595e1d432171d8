package io.fireflywalk.benchmark.requestpath;

import io.fireflywalk.services.time.TimerService;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Holds many streams open through the daemon and measures its processor time per token event and its heap. */
final class StreamMeasurement {
    private static final int BYTES_PER_EVENT_MARK = 4;
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

    /** Figures of one run of streams. */
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
        List<Future<?>> open = new ArrayList<>();
        for (int index = 0; index < streams; index++) {
            // Started evenly over half of the time to settle, because admission bounds its queues.
            Duration delay = settle.dividedBy(2).multipliedBy(index).dividedBy(streams);
            open.add(after(delay).compose(ignored -> stream(tokensPerStream)));
        }
        Snapshot[] start = new Snapshot[1];
        return after(settle)
                .compose(ignored -> snapshot())
                .compose(first -> {
                    start[0] = first;
                    return after(window);
                })
                .compose(ignored -> snapshot())
                .compose(last -> Future.join(open).otherwiseEmpty().map(ignored -> figures(streams, start[0], last)));
    }

    private Figures figures(int streams, Snapshot first, Snapshot last) {
        double seconds = (last.nanoseconds() - first.nanoseconds()) / 1e9;
        double processorSeconds =
                last.processorTime().minus(first.processorTime()).toMillis() / 1000.0;
        long counted = last.events() - first.events();
        return new Figures(
                streams,
                counted,
                seconds,
                processorSeconds,
                counted / seconds,
                processorSeconds == 0 ? 0 : counted / processorSeconds,
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
                .compose(request -> request.send())
                .compose(response -> response.body())
                .map(body -> {
                    Matcher matcher = HEAP.matcher(body.toString());
                    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0L;
                });
    }

    private Future<Void> after(Duration delay) {
        return Future.future(promise -> {
            var unused = timers.after(delay).subscribe(promise::complete);
        });
    }

    private Future<?> stream(int tokens) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(MeasuredSystem.HOST)
                .setPort(system.callerPort())
                .setURI("/v1/completions")
                .putHeader("authorization", "Bearer " + MeasuredSystem.KEY);
        String body = "{\"model\":\"draft\",\"stream\":true,\"prompt\":\"x\",\"max_tokens\":" + tokens + "}";
        return client.request(options)
                .compose(request -> request.send(Buffer.buffer(body)))
                .compose(response -> {
                    if (response.statusCode() != STATUS_OK) {
                        return Future.failedFuture("status " + response.statusCode());
                    }
                    response.handler(this::count);
                    return response.end();
                })
                .onSuccess(ignored -> completed++)
                .onFailure(cause -> failures++);
    }

    /** Counts the id lines of token events, which the chunk holds whole except at its edges. */
    private void count(Buffer chunk) {
        for (int index = 0; index + BYTES_PER_EVENT_MARK <= chunk.length(); index++) {
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
