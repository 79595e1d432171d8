package io.fireflywalk.daemon.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;

/** Metrics of the request path. Confined to one event loop. */
public final class GatewayMetrics {
    private final MetricRegistry registry;
    private final Timer timeToFirstToken;
    private final Timer betweenTokens;
    private final Counter attempts;
    private final Counter retries;
    private final Counter resumes;
    private final Counter hedges;
    private final Counter cancellations;
    private final Counter unrecordedUsage;

    public GatewayMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.timeToFirstToken = timer("time_to_first_token_seconds");
        this.betweenTokens = timer("between_tokens_seconds");
        this.attempts = registry.counter("attempts");
        this.retries = registry.counter("retries");
        this.resumes = registry.counter("resumes");
        this.hedges = registry.counter("hedges");
        this.cancellations = registry.counter("engine_cancellations");
        this.unrecordedUsage = registry.counter("usage_record_failures");
    }

    /** Registers gauges, which are evaluated when the metrics are read. */
    void registerGauges(RetryController retryController, BodyMemoryBudget memory) {
        registry.register("breakers_open", (Gauge<Long>) retryController::openBreakers);
        registry.register("body_memory_bytes", (Gauge<Long>) memory::usedBytes);
    }

    /** Counts a finished request by its outcome, which must be one of a fixed set because it names a counter. */
    void countRequest(String outcome) {
        registry.counter("requests_" + outcome).inc();
    }

    void recordTimeToFirstToken(long nanoseconds) {
        timeToFirstToken.update(nanoseconds, TimeUnit.NANOSECONDS);
    }

    /** Records the mean time between the tokens of one chunk, so that the cost is per chunk and not per token. */
    void recordTimeBetweenTokens(long nanosecondsPerToken) {
        betweenTokens.update(nanosecondsPerToken, TimeUnit.NANOSECONDS);
    }

    void countAttempt() {
        attempts.inc();
    }

    void countRetry() {
        retries.inc();
    }

    void countResume() {
        resumes.inc();
    }

    void countHedge() {
        hedges.inc();
    }

    void countCancellation() {
        cancellations.inc();
    }

    void countUnrecordedUsage() {
        unrecordedUsage.inc();
    }

    private Timer timer(String name) {
        return registry.timer(
                name,
                () -> new Timer(LockFreeExponentiallyDecayingReservoir.builder().build()));
    }
}
