package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import io.fireflywalk.core.ingress.PromptSummary;
import io.fireflywalk.core.ingress.RequestDescription;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.daemon.ingress.TargetProtocol.CacheSource;
import io.fireflywalk.daemon.ingress.TargetProtocol.TargetRequest;
import io.fireflywalk.daemon.ingress.TargetProtocol.TargetResponseHead;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import org.jboss.logging.Logger;

/**
 * Has a runner of the prefill stage process a prompt, and keeps the handle of the resulting KV cache until another
 * runner has fetched it. Prefill does not run the request, so it may be cancelled at any time. Confined to one event
 * loop.
 */
final class RemotePrefill implements TargetExchange.Listener {
    private static final Logger LOG = Logger.getLogger(RemotePrefill.class);
    /** Time without a response after which a runner counts as stalled, unless the prompt is expected to take longer. */
    private static final Duration STALL_TIMEOUT = Duration.ofMillis(1200);

    private static final int MAXIMUM_ATTEMPTS = 2;
    /** The response to a prefill holds a handle and two numbers. */
    private static final int MAXIMUM_RESPONSE_BYTES = 16_384;

    private final IngressContext context;
    private final CallerExchange caller;
    private final RequestDescription description;
    private final PromptSummary summary;
    private final RequestQuarantine quarantine;
    private final Runnable continuation;
    private Optional<TargetExchange> current = Optional.empty();
    private Optional<CacheSource> cacheSource = Optional.empty();
    private Optional<Placement> placement = Optional.empty();
    private final StallTimer stallTimer;
    private int attempts;
    private int cacheRejections;
    private long queuedAt;
    private boolean closed;
    private final LogFields log = new LogFields();

    /**
     * Creates the prefill of one request.
     *
     * @param continuation continues the request after the prefill has succeeded or failed
     */
    RemotePrefill(
            IngressContext context,
            CallerExchange caller,
            RequestDescription description,
            PromptSummary summary,
            RequestQuarantine quarantine,
            Runnable continuation) {
        this.context = context;
        this.caller = caller;
        this.description = description;
        this.summary = summary;
        this.quarantine = quarantine;
        this.continuation = continuation;
        this.stallTimer = new StallTimer(context);
    }

    /** Tells whether a prefill may be attempted. */
    boolean allowed() {
        return cacheSource.isEmpty() && attempts < MAXIMUM_ATTEMPTS && cacheRejections == 0;
    }

    /** Tells whether no prefill has been attempted yet. */
    boolean notAttempted() {
        return attempts == 0;
    }

    /** Returns the location of the KV cache. */
    Optional<CacheSource> cacheSource() {
        return cacheSource;
    }

    /** Returns the availability zone of the KV cache. */
    Optional<String> cacheZone() {
        return cacheSource.isPresent()
                ? placement.map(chosen -> chosen.target().entry().availabilityZone())
                : Optional.empty();
    }

    /** Returns the fields that describe the prefill in the request's log line. */
    String logFields() {
        return log.format();
    }

    /** Sends the prompt to the runner of the placement. */
    void start(Placement chosen, TargetRequest requestHead) {
        attempts++;
        TargetState target = chosen.target();
        placement = Optional.of(chosen);
        log.replace(() -> String.format(
                "reader=%s reader_zone=%s reader_estimate_ms=%.0f reader_wait_ms=%.0f reader_candidates=%d fetch_from=%s"
                        + " tokens=%d shared_part=%s shared_tokens=%d",
                target.entry().identifier(),
                target.entry().availabilityZone(),
                chosen.timeToFirstTokenMilliseconds(),
                chosen.queueMilliseconds(),
                chosen.candidates(),
                chosen.fetchFrom().map(source -> source.entry().identifier()).orElse("-"),
                description.promptTokens(),
                summary.sharedPart(),
                summary.sharedTokens()));
        TargetExchange exchange = new TargetExchange(context, target, description.attemptIdentifier(), this);
        current = Optional.of(exchange);
        queuedAt = context.placementBroadcaster().recordPlacement(chosen, summary);
        exchange.start(caller.method(), caller.uri(), caller.headers(), caller.body(), requestHead);
        Duration timeout = chosen.stallTimeout(STALL_TIMEOUT);
        stallTimer.start(exchange, timeout, () -> exchange.fail("silent for " + timeout.toMillis() + " ms"));
    }

    @Override
    public void onResponse(TargetExchange exchange, TargetResponseHead head, HttpClientResponse response) {
        stallTimer.stop();
        ResponseBodyReader.collect(
                response,
                MAXIMUM_RESPONSE_BYTES,
                body -> onResponseBody(exchange, head, body),
                firstBytes -> exchange.fail("response of more than " + MAXIMUM_RESPONSE_BYTES + " bytes"));
    }

    private void onResponseBody(TargetExchange exchange, TargetResponseHead head, Buffer body) {
        exchange.complete(head.success());
        long now = context.timers().monotonicNanoseconds();
        Duration elapsed = Duration.ofNanos(now - exchange.startedAt());
        log.add(() -> "read_ms=" + elapsed.toMillis() + " read_status=" + head.status());
        if (head.success()) {
            exchange.target().recordPrefillCompleted(summary, queuedAt, now);
            placement.ifPresent(
                    chosen -> context.promptPlacement().recordPrefillTime(chosen, (double) elapsed.toMillis()));
            onPrefilled(exchange.target(), body);
        } else {
            context.metrics().count("prompt_refusals");
            exchange.target().recordPrefillCancelled(summary, queuedAt, now);
            context.targetChooser().recordRejection(exchange.target(), head.load(), now);
            resumeRequest();
        }
    }

    private void onPrefilled(TargetState target, Buffer body) {
        try {
            String handle = context.targetProtocol().readCacheHandle(body);
            cacheSource = Optional.of(
                    new CacheSource(target.entry().host(), target.entry().port(), handle));
        } catch (FireflywalkException exception) {
            LOG.warnf(
                    "event=handle_unreadable id=%s cause=\"%s\"",
                    description.attemptIdentifier(), exception.getMessage());
        }
        if (closed) {
            freeCache();
        }
        resumeRequest();
    }

    @Override
    public void onFailure(TargetExchange exchange, String cause) {
        stallTimer.stop();
        context.metrics().count("prompt_failures");
        quarantine.onFailure(exchange);
        recordCancelled(exchange);
        log.add(() -> "reader_failure=\"" + cause.replace('"', '\'') + '"');
        resumeRequest();
    }

    private void resumeRequest() {
        if (!closed) {
            continuation.run();
        }
    }

    /** Records that a runner rejected the KV cache; the second rejection discards it. */
    void onCacheRejected() {
        if (cacheSource.isPresent()) {
            cacheRejections++;
            if (cacheRejections > 1) {
                freeCache();
            }
        }
    }

    /** Forgets the KV cache after a runner has fetched it or may have done so. */
    void onCacheFetched() {
        cacheSource = Optional.empty();
    }

    /** Cancels a prefill in progress and frees a KV cache that has not been fetched. */
    void close() {
        closed = true;
        stallTimer.stop();
        current.filter(exchange -> !exchange.ended()).ifPresent(exchange -> {
            exchange.cancel();
            recordCancelled(exchange);
        });
        freeCache();
    }

    private void recordCancelled(TargetExchange exchange) {
        exchange.target()
                .recordPrefillCancelled(summary, queuedAt, context.timers().monotonicNanoseconds());
    }

    private void freeCache() {
        long now = context.timers().monotonicNanoseconds();
        if (placement.filter(chosen -> chosen.target().heldOff(now)).isPresent()) {
            // The runner wants no calls; it frees the cache by itself after some seconds.
            cacheSource = Optional.empty();
        }
        cacheSource.ifPresent(unfetched -> {
            RequestOptions options = new RequestOptions()
                    .setMethod(HttpMethod.DELETE)
                    .setHost(unfetched.host())
                    .setPort(unfetched.port())
                    .setURI(context.targetProtocol().cacheHandlePath(unfetched.handle()))
                    .setIdleTimeout(STALL_TIMEOUT.toMillis());
            context.client()
                    .request(options)
                    .onSuccess(request -> request.send()
                            .onSuccess(response ->
                                    ResponseBodyReader.discard(response, context.timers(), () -> {}, request::reset))
                            .onFailure(cause -> logUnfreed(unfetched, cause)))
                    .onFailure(cause -> logUnfreed(unfetched, cause));
        });
        cacheSource = Optional.empty();
    }

    private static void logUnfreed(CacheSource unfetched, Throwable cause) {
        LOG.debugf("event=handle_not_freed handle=%s cause=\"%s\"", unfetched.handle(), cause.getMessage());
    }
}
