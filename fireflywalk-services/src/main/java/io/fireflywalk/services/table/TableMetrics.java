package io.fireflywalk.services.table;

import com.codahale.metrics.Clock;
import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.services.time.TimerService;
import java.util.concurrent.TimeUnit;

/** Metrics of calls to the table service: totals, and one-minute rates. Thread-safe. */
public final class TableMetrics {
    private final Meter reads;
    private final Meter writes;
    private final Counter failures = new Counter();
    private final Counter unresolvedOutcomes = new Counter();

    public TableMetrics(TimerService timers) {
        Clock clock = clockOf(timers);
        this.reads = new Meter(clock);
        this.writes = new Meter(clock);
    }

    /** Adds the metrics to a registry. */
    public void register(MetricRegistry registry) {
        registry.register("table_reads", reads);
        registry.register("table_writes", writes);
        registry.register("table_reads_per_second", (Gauge<Double>) reads::getOneMinuteRate);
        registry.register("table_writes_per_second", (Gauge<Double>) writes::getOneMinuteRate);
        registry.register("table_failures", failures);
        registry.register("table_outcomes_unresolved", unresolvedOutcomes);
    }

    /** Returns the number of reads and scans sent. */
    public long readCount() {
        return reads.getCount();
    }

    /** Returns the number of transactions sent, cancellations included. */
    public long writeCount() {
        return writes.getCount();
    }

    void recordRead() {
        reads.mark();
    }

    void recordWrite() {
        writes.mark();
    }

    void recordFailedAttempt() {
        failures.inc();
    }

    void recordUnresolvedOutcome() {
        unresolvedOutcomes.inc();
    }

    private static Clock clockOf(TimerService timers) {
        return new Clock() {
            @Override
            public long getTick() {
                return timers.monotonicNanoseconds();
            }

            @Override
            public long getTime() {
                return TimeUnit.NANOSECONDS.toMillis(timers.monotonicNanoseconds());
            }
        };
    }
}
