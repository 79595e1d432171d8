package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.RequestKind;
import java.time.Duration;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Metrics and log line of the end of one request. Confined to one event loop. */
final class RequestEnd {
    private final IngressContext context;
    private final CallerExchange caller;
    private final RequestLog log;
    private final RequestAttempts attempts;
    private final RemotePrefill prefill;
    private final RequestAdmission admission;

    RequestEnd(
            IngressContext context,
            CallerExchange caller,
            RequestLog log,
            RequestAttempts attempts,
            RemotePrefill prefill,
            RequestAdmission admission) {
        this.context = context;
        this.caller = caller;
        this.log = log;
        this.attempts = attempts;
        this.prefill = prefill;
        this.admission = admission;
    }

    /** Records how the request ended. */
    void record(String outcome, int status, boolean answered, String cause, long firstByteMilliseconds) {
        long version = context.configuration().version();
        var result = RequestLog.Result.of(
                outcome, status, cause, firstByteMilliseconds, caller.elapsed(), attempts, version);
        long now = context.timers().monotonicNanoseconds();
        long elapsed = result.elapsed().toNanos();
        boolean atFirstAttempt = answered && log.attempts() <= 1;
        context.metrics().requestEnded(now, elapsed, outcome, atFirstAttempt, () -> log.format(result, otherFields()));
    }

    /**
     * Cancels the last attempt. Cancelling a request that must run at most once would leave its outcome unknown, so it
     * goes on without its caller for the time that remains.
     */
    void cancel(TargetExchange exchange, String outcome, RequestKind kind, Duration remaining) {
        if (outcome.equals("caller_left") && exchange.sent() && kind == RequestKind.NON_IDEMPOTENT) {
            var unused = context.timers().after(remaining).subscribe(exchange::cancel);
        } else {
            exchange.cancel();
        }
    }

    private String otherFields() {
        return Stream.of(prefill.logFields(), admission.logFields())
                .filter(fields -> !fields.isEmpty())
                .collect(Collectors.joining(" "));
    }
}
