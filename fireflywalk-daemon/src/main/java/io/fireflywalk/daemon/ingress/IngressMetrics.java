package io.fireflywalk.daemon.ingress;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Counters, latency histograms and the log line of each request. The lines are bounded by rate, separately for good and
 * failed requests, so that the lines of failed ones are not lost first. Confined to one event loop.
 */
final class IngressMetrics {
    private static final Logger LOG = Logger.getLogger("io.fireflywalk.request");
    /** Lines a second of requests that were answered by a target. */
    private static final int ANSWERED_LINES = 20;
    /** Lines a second of requests that were refused or failed. */
    private static final int FAILED_LINES = 60;

    private static final long SECOND_NANOSECONDS = 1_000_000_000L;

    private final MetricRegistry registry;
    private final Timer firstByte;
    private final Timer total;
    private long second;
    private int answeredLines;
    private int failedLines;
    private long omitted;

    IngressMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.firstByte = registry.timer("request_first_byte_seconds");
        this.total = registry.timer("request_total_seconds");
    }

    /** Counts an event. */
    void count(String name) {
        registry.counter(name).inc();
    }

    /** Notes the time until the first byte of the answer. */
    void firstByte(long nanoseconds) {
        firstByte.update(nanoseconds, TimeUnit.NANOSECONDS);
    }

    /** Notes the end of a request and logs it if the rate allows. */
    void ended(long now, long nanoseconds, String outcome, boolean answered, Supplier<String> line) {
        total.update(nanoseconds, TimeUnit.NANOSECONDS);
        registry.counter("requests_" + outcome).inc();
        if (now / SECOND_NANOSECONDS != second) {
            second = now / SECOND_NANOSECONDS;
            answeredLines = 0;
            failedLines = 0;
            if (omitted > 0) {
                LOG.infof("event=lines_omitted count=%d", omitted);
                omitted = 0;
            }
        }
        if (answered ? answeredLines++ < ANSWERED_LINES : failedLines++ < FAILED_LINES) {
            LOG.info(line.get());
        } else {
            omitted++;
        }
    }
}
