package io.fireflywalk.daemon.ingress;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.fireflywalk.core.ingress.CallerLimit;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Counters, latency histograms and the access log. The rate of log lines is limited separately for successful and for
 * failed requests, so that failures are not crowded out. Confined to one event loop.
 */
final class IngressMetrics {
    private static final Logger LOG = Logger.getLogger("io.fireflywalk.request");
    /** Log lines per second for requests that a target answered. */
    private static final int ANSWERED_LINES_PER_SECOND = 20;
    /** Log lines per second for requests that were rejected or failed, or that a target answered after another attempt. */
    private static final int FAILED_LINES_PER_SECOND = 60;
    /** Log lines per second for faults of targets. */
    private static final int FAULT_LINES_PER_SECOND = 20;

    /** Log lines per second for limits that callers meet. */
    private static final int LIMIT_LINES_PER_SECOND = 5;

    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    private final MetricRegistry registry;
    private final Timer firstByte;
    private final Timer totalTime;
    private final Timer queueWait;
    private final Timer retryAfter;
    private long currentSecond;
    private int answeredLines;
    private int failedLines;
    private int faultLines;
    private int limitLines;
    private long omittedLines;

    IngressMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.firstByte = registry.timer("request_first_byte_seconds");
        this.totalTime = registry.timer("request_total_seconds");
        this.queueWait = registry.timer("queue_wait_seconds");
        this.retryAfter = registry.timer("retry_after_seconds");
    }

    /** Increments a counter. */
    void count(String name) {
        registry.counter(name).inc();
    }

    /** Adds an amount to a counter. */
    void count(String name, long amount) {
        registry.counter(name).inc(amount);
    }

    /** Records the time to the first byte of a response. */
    void firstByte(long nanoseconds) {
        firstByte.update(nanoseconds, TimeUnit.NANOSECONDS);
    }

    /** Records how long a request waited for a place. */
    void queueWait(long nanoseconds) {
        queueWait.update(nanoseconds, TimeUnit.NANOSECONDS);
    }

    /** Records the time after which a refused caller was told to return. */
    void retryAfter(Duration delay) {
        retryAfter.update(delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Records the end of a request and logs it if the rate limit allows.
     *
     * @param atFirstAttempt true if the first target that the request was sent to answered it
     */
    void requestEnded(long now, long nanoseconds, String outcome, boolean atFirstAttempt, Supplier<String> line) {
        totalTime.update(nanoseconds, TimeUnit.NANOSECONDS);
        registry.counter("requests_" + outcome).inc();
        startSecond(now);
        if (atFirstAttempt ? answeredLines++ < ANSWERED_LINES_PER_SECOND : failedLines++ < FAILED_LINES_PER_SECOND) {
            LOG.info(line.get());
        } else {
            omittedLines++;
        }
    }

    /** Logs a fault of a target that costs no request, or not only one, if the rate limit allows. */
    void logFault(long now, Supplier<String> line) {
        startSecond(now);
        if (faultLines++ < FAULT_LINES_PER_SECOND) {
            LOG.warn(line.get());
        } else {
            omittedLines++;
        }
    }

    /** Counts a limit that a caller has met, and logs it if the rate limit allows. */
    void limitMet(long now, CallerLimit limit, String address) {
        count("caller_limit_" + limit.code());
        startSecond(now);
        if (limitLines++ < LIMIT_LINES_PER_SECOND) {
            LOG.warnf("event=caller_limit limit=%s address=%s cause=\"%s\"", limit.code(), address, limit.detail());
        } else {
            omittedLines++;
        }
    }

    private void startSecond(long now) {
        if (now / NANOSECONDS_PER_SECOND == currentSecond) {
            return;
        }
        currentSecond = now / NANOSECONDS_PER_SECOND;
        answeredLines = 0;
        failedLines = 0;
        faultLines = 0;
        limitLines = 0;
        if (omittedLines > 0) {
            LOG.infof("event=lines_omitted count=%d", omittedLines);
            omittedLines = 0;
        }
    }
}
