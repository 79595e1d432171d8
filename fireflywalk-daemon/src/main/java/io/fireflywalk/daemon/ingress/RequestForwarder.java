package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.HostRoute;
import io.fireflywalk.core.ingress.PromptPlacement;
import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import io.fireflywalk.core.ingress.PromptSummary;
import io.fireflywalk.core.ingress.RequestDescription;
import io.fireflywalk.core.ingress.RequestKind;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.daemon.ingress.PromptQuarantine.Admission;
import io.fireflywalk.daemon.ingress.TargetChooser.Chosen;
import io.fireflywalk.daemon.ingress.TargetChooser.ExpectedWork;
import io.fireflywalk.daemon.ingress.TargetProtocol.TargetRequest;
import io.fireflywalk.daemon.ingress.TargetProtocol.TargetResponseHead;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;

/**
 * Forwards one request, once its body is buffered: chooses targets, retries where allowed, and relays the response. A
 * request that may have run is not retried unless its route allows it, and is never reported to the caller as not run.
 * Confined to one event loop.
 */
final class RequestForwarder implements TargetExchange.Listener {
    /** An attempt with less time left cannot get a response. */
    private static final Duration MINIMUM_ATTEMPT_TIME = Duration.ofMillis(15);
    /** Longer responses are passed on as they arrive, so that a body without end takes no more memory. */
    private static final int MAXIMUM_COLLECTED_BYTES = 65_536;
    /** A stream with a longer event is broken off. */
    private static final int MAXIMUM_EVENT_BYTES = 262_144;

    private final IngressContext context;
    private final TargetConcurrencyLimits limits;
    private final CallerExchange caller;
    private final HostRoute route;
    private final RequestDescription description;
    private final Optional<String> clientAccount;
    private final String service;
    private final Duration deadline;
    private final RequestAttempts attempts;
    private final SseEventSplitter events = new SseEventSplitter();
    private final PromptSummary summary;
    private final RequestQuarantine quarantine;
    private final RemotePrefill prefill;
    private final StallTimer stallTimer;
    private final RequestLog log;
    private final RequestAdmission admission;
    private final RequestEnd end;
    private Optional<TargetExchange> current = Optional.empty();
    private Disposable deadlineTimer = Disposable.disposed();
    /** Time after which a refused caller may return, if it is known. */
    private Optional<Duration> retryAfter = Optional.empty();

    private boolean executionStarted;
    private boolean streaming;
    private boolean finished;
    private long firstByteMilliseconds = -1;

    RequestForwarder(
            IngressContext context,
            TargetConcurrencyLimits limits,
            CallerExchange caller,
            HostRoute route,
            RequestDescription description,
            Optional<String> clientAccount) {
        this.context = context;
        this.limits = limits;
        this.caller = caller;
        this.route = route;
        this.description = description;
        this.clientAccount = clientAccount;
        this.service = route.pickService(context.random().nextDouble());
        this.deadline = description
                .deadline()
                .filter(stated -> stated.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        this.attempts = new RequestAttempts(
                context.retryBudgets(), route, service, context.requestQueue().enabled());
        this.summary = description.summary(route.runnerPriority());
        this.quarantine = new RequestQuarantine(context, description);
        this.prefill = new RemotePrefill(context, caller, description, summary, quarantine, this::dispatch);
        this.stallTimer = new StallTimer(context);
        this.log = new RequestLog(description, route, clientAccount, deadline);
        this.admission =
                new RequestAdmission(context, caller, route, description, clientAccount, service, deadline, attempts);
        this.end = new RequestEnd(context, caller, log, attempts, prefill, admission);
    }

    void start() {
        context.recordRequest(service, route, description, summary);
        caller.onDisconnect(this::onCallerDisconnect);
        caller.onStop(this::onInstanceStop);
        deadlineTimer = context.timers().after(remaining()).subscribe(this::onDeadline);
        enterQueue();
    }

    // Dispatch

    private void enterQueue() {
        if (context.requestQueue().enabled() && quarantine.refusal().isPresent()) {
            // The dispatch refuses it; it must not wait for that.
            dispatch();
        } else {
            admission.enter(this::dispatch, this::fail);
        }
    }

    private void dispatch() {
        if (finished) {
            return;
        }
        Duration timeLeft = remaining();
        if (timeLeft.compareTo(MINIMUM_ATTEMPT_TIME) < 0) {
            onDeadline();
            return;
        }
        Optional<Admission> refusal = quarantine.refusal();
        if (refusal.isPresent()) {
            refuseQuarantined(refusal.get());
            return;
        }
        Collection<TargetState> targets = context.directory().forService(service);
        int maximumInFlight = limits.requestsPerTarget(service);
        long now = context.timers().monotonicNanoseconds();
        if (shouldPrefillSeparately()) {
            Optional<Placement> placement =
                    context.targetChooser().choosePrefill(service, attempts, targets, maximumInFlight, summary, now);
            if (placement.isPresent()) {
                sendToPlacement(placement.get(), timeLeft);
                return;
            }
        }
        Optional<Chosen> choice = context.targetChooser()
                .choose(route, service, description, attempts, targets, maximumInFlight, prefill.cacheZone(), now);
        if (choice.isEmpty() && !executionStarted && admission.enterAgain(this::dispatch, this::fail)) {
            return;
        }
        if (choice.isEmpty()) {
            retryAfter = admission.timeUntilFirstReturn();
            fail(attempts.rejections() > 0 ? ErrorKind.TARGET_REFUSED : ErrorKind.NO_TARGET, "no target is available");
            return;
        }
        Duration timeout = StallTimer.defaultTimeout(route.latencyObjective());
        sendTo(choice.get().target(), choice.get().work(), Optional.empty(), timeLeft, timeout);
        log.routing().add(choice.get().logFields());
    }

    private void refuseQuarantined(Admission admission) {
        retryAfter = Optional.of(admission.retryAfter());
        String part = admission.refused().get();
        fail(ErrorKind.PROMPT_QUARANTINED, "part " + part + " of the prompt has ended several targets");
    }

    private boolean shouldPrefillSeparately() {
        return PromptPlacement.appliesTo(route, description) && !executionStarted && prefill.allowed();
    }

    private void sendToPlacement(Placement placement, Duration timeLeft) {
        TargetState target = placement.target();
        if (placement.waitMissesObjective((double) route.latencyObjective().toMillis(), (double)
                caller.elapsed().toMillis())) {
            log.routing().replace(() -> RequestLog.waitFields(placement));
            fail(ErrorKind.QUEUE_FULL, "the prompt would wait too long");
            return;
        }
        if (target.entry().stage() != Stage.PREFILL) {
            context.placementBroadcaster().recordPlacement(placement, summary);
            sendTo(
                    target,
                    Optional.empty(),
                    placement.fetchFrom(),
                    timeLeft,
                    placement.stallTimeout(StallTimer.defaultTimeout(route.latencyObjective())));
            log.routing().add(() -> RequestLog.placementFields(placement));
        } else if (prefill.notAttempted() || context.retryBudgets().trySpend(service)) {
            prefill.start(placement, request(target, timeLeft, true, placement.fetchFrom()));
        } else {
            fail(ErrorKind.TARGET_REFUSED, "the prompt could not be read");
        }
    }

    private void sendTo(
            TargetState target,
            Optional<ExpectedWork> work,
            Optional<TargetState> fetchFrom,
            Duration timeLeft,
            Duration timeout) {
        TargetExchange exchange = new TargetExchange(context, target, description.attemptIdentifier(), this);
        exchange.expect(work);
        current = Optional.of(exchange);
        log.routing().replace(RequestLog.targetFields(target, context.timers().monotonicNanoseconds()));
        exchange.start(
                caller.method(),
                caller.uri(),
                caller.headers(),
                caller.body(),
                request(target, timeLeft, false, fetchFrom));
        stallTimer.start(exchange, timeout, () -> onStalled(exchange, timeout));
    }

    private TargetRequest request(
            TargetState target, Duration timeLeft, boolean prefillOnly, Optional<TargetState> fetchFrom) {
        return new TargetRequest(
                target.entry().identifier(),
                clientAccount,
                timeLeft,
                prefillOnly,
                prefillOnly ? Optional.empty() : prefill.cacheSource(),
                fetchFrom.map(source -> source.entry().address()),
                events.lastEventIdentifier(),
                summary.priority());
    }

    /** Records a failure of a target that sends no response to any request in time; retries elsewhere if allowed. */
    private void onStalled(TargetExchange exchange, Duration timeout) {
        if (executionStarted) {
            return;
        }
        if (mayRepeat() && attempts.chargeRetryAhead()) {
            exchange.fail("silent for " + timeout.toMillis() + " ms");
        } else {
            exchange.target().recordFailure(context.timers().monotonicNanoseconds());
        }
    }

    // Responses

    @Override
    public void onResponse(TargetExchange exchange, TargetResponseHead head, HttpClientResponse response) {
        stallTimer.stop();
        log.addAttempt(exchange, "status=" + head.status());
        if (head.notExecuted()) {
            onRejected(exchange, head, response);
        } else if (finished) {
            // Nobody waits for this response any more; reading it to the end keeps the connection reusable.
            exchange.discard(response, true);
        } else if (streaming && !head.success()) {
            exchange.fail("status " + head.status() + " in place of the rest of a stream");
        } else if (head.success() && !head.signed()) {
            exchange.fail("answer without signature");
        } else if (head.success() && route.kind() == RequestKind.STREAMING) {
            forwardStream(exchange, response);
        } else {
            collect(exchange, head, response);
        }
    }

    private void onRejected(TargetExchange exchange, TargetResponseHead head, HttpClientResponse response) {
        exchange.discard(response, false);
        current = Optional.empty();
        context.targetChooser()
                .recordRejection(
                        exchange.target(), head.load(), context.timers().monotonicNanoseconds());
        if (finished) {
            return;
        }
        context.metrics().count("target_refusals");
        admission.recordRejection();
        boolean mayFollow = attempts.recordRejection(exchange);
        if (streaming) {
            abort("resumption rejected with status " + head.status());
        } else if (mayFollow && context.retryBudgets().trySpend(service)) {
            prefill.onCacheRejected();
            enterQueue();
        } else {
            fail(ErrorKind.TARGET_REFUSED, "targets refused the request");
        }
    }

    private void collect(TargetExchange exchange, TargetResponseHead head, HttpClientResponse response) {
        ResponseBodyReader.collect(
                response,
                MAXIMUM_COLLECTED_BYTES,
                body -> {
                    if (exchange.ended()) {
                        return;
                    }
                    exchange.complete(!head.serverError() || head.signed());
                    if (!finished) {
                        onResponseBody(exchange, head, response, body);
                    }
                },
                firstBytes -> passOn(exchange, head, response, firstBytes));
    }

    /** Passes a long response on as it arrives. It ends at the deadline at the latest, and then looks incomplete. */
    private void passOn(
            TargetExchange exchange, TargetResponseHead head, HttpClientResponse response, Buffer firstBytes) {
        if (finished || !head.signed() || head.impliesNotRun()) {
            exchange.fail("response of more than " + MAXIMUM_COLLECTED_BYTES + " bytes with status " + head.status());
            return;
        }
        markExecutionStarted();
        startStreaming(response);
        exchange.recordDelivery();
        caller.relay(firstBytes, exchange);
        exchange.readInBatches(
                response,
                bytes -> {
                    if (!finished && !exchange.ended()) {
                        caller.relay(bytes, exchange);
                    }
                },
                () -> {
                    if (!finished && !exchange.ended()) {
                        onCompleteResponse(exchange, head.status());
                    }
                });
    }

    private void onResponseBody(
            TargetExchange exchange, TargetResponseHead head, HttpClientResponse response, Buffer body) {
        markExecutionStarted();
        attempts.recordPossiblyRun();
        if (head.serverError() && mayRepeat() && attempts.chargeRetry()) {
            attempts.exclude(exchange);
            dispatch();
            return;
        }
        if (!head.signed() || head.impliesNotRun()) {
            fail(ErrorKind.TARGET_FAILED, "the target answered " + head.status());
            return;
        }
        context.metrics().firstByte(caller.elapsed().toNanos());
        context.targetProtocol().writeResponseHead(response.headers(), caller.responseHeaders());
        quarantine.onAnswer();
        finish("answered", head.status(), true, "");
        caller.end(head.status(), body);
    }

    private void forwardStream(TargetExchange exchange, HttpClientResponse response) {
        exchange.readInBatches(
                response, bytes -> onStreamBytes(exchange, response, bytes), () -> onStreamEnd(exchange));
    }

    private void onStreamBytes(TargetExchange exchange, HttpClientResponse response, Buffer bytes) {
        if (finished || exchange.ended()) {
            return;
        }
        if (!executionStarted && prefill.cacheSource().isPresent()) {
            exchange.target().recordKvCacheFetched(summary, context.timers().monotonicNanoseconds());
        }
        markExecutionStarted();
        Buffer completeEvents = events.accept(bytes);
        if (events.partialLength() > MAXIMUM_EVENT_BYTES) {
            exchange.fail("event of more than " + MAXIMUM_EVENT_BYTES + " bytes");
            return;
        }
        if (completeEvents.length() == 0) {
            return;
        }
        if (!streaming) {
            startStreaming(response);
        }
        exchange.recordDelivery();
        caller.relay(completeEvents, exchange);
    }

    private void startStreaming(HttpClientResponse response) {
        streaming = true;
        context.metrics().firstByte(caller.elapsed().toNanos());
        context.targetProtocol().writeResponseHead(response.headers(), caller.responseHeaders());
        caller.startStream(response.statusCode());
    }

    private void onStreamEnd(TargetExchange exchange) {
        if (finished || exchange.ended()) {
            return;
        }
        if (!streaming || !events.atEventBoundary()) {
            exchange.fail("stream ended within an event");
            return;
        }
        onCompleteResponse(exchange, 200);
    }

    private void onCompleteResponse(TargetExchange exchange, int status) {
        exchange.complete(true);
        quarantine.onAnswer();
        context.arrivedWork()
                .countGeneration(exchange.target().entry(), caller.elapsed().minusMillis(firstByteMilliseconds));
        finish("answered", status, true, "");
        caller.endStream();
    }

    private void markExecutionStarted() {
        if (!executionStarted) {
            executionStarted = true;
            firstByteMilliseconds = caller.elapsed().toMillis();
            prefill.onCacheFetched();
            clientAccount.ifPresent(context.usageCounter()::requestStarted);
        }
        if (!route.retryable() && current.filter(TargetExchange::written).isPresent()) {
            caller.releaseBody();
            caller.releaseHead();
        }
    }

    // Failures

    @Override
    public void onFailure(TargetExchange exchange, String cause) {
        stallTimer.stop();
        quarantine.onFailure(exchange);
        if (finished) {
            return;
        }
        context.metrics().count("target_failures");
        log.addAttempt(exchange, "failure=" + cause.replace('"', '\''));
        log.routing().add(() -> "failure=\"" + cause.replace('"', '\'') + '"');
        events.discardPartial();
        if (!exchange.sent()) {
            if (attempts.recordRejection(exchange)) {
                dispatch();
            } else {
                fail(ErrorKind.NO_TARGET, "no connection to a target");
            }
            return;
        }
        prefill.onCacheFetched();
        attempts.exclude(exchange);
        attempts.recordPossiblyRun();
        if (mayRepeat() && attempts.chargeRetry()) {
            context.metrics().count("target_repeats");
            dispatch();
        } else {
            fail(ErrorKind.TARGET_FAILED, cause);
        }
    }

    /** Tells whether there is time for another attempt, and whether a stream that has begun can go on there. */
    private boolean mayRepeat() {
        return remaining().compareTo(MINIMUM_ATTEMPT_TIME) > 0
                && (!streaming || events.lastEventIdentifier().isPresent());
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        boolean mayHaveRun = attempts.mayHaveRun(current);
        fail(mayHaveRun ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_UNREACHABLE, "the deadline passed");
    }

    /** Answers with an error, or breaks off a response that has begun, which an error cannot follow. */
    private void fail(ErrorKind kind, String cause) {
        if (streaming) {
            abort(cause);
            return;
        }
        ErrorKind reportedKind = attempts.mayHaveRun(current) && TargetResponseHead.impliesNotRun(kind.httpStatus())
                ? ErrorKind.TARGET_FAILED
                : kind;
        finish(reportedKind.code(), reportedKind.httpStatus(), false, cause);
        Optional<Duration> delay = retryAfter.or(() -> admission.retryAfter(reportedKind));
        caller.sendError(new FireflywalkException(reportedKind, cause, "request"), delay);
    }

    private void abort(String cause) {
        finish("stream_broken", 0, false, cause);
        caller.abort();
    }

    private void onInstanceStop() {
        if (!finished) {
            fail(ErrorKind.DRAINING, "the instance is shutting down");
        }
    }

    private void onCallerDisconnect() {
        if (!finished) {
            finish("caller_left", 0, false, "");
        }
    }

    private void finish(String outcome, int status, boolean answered, String cause) {
        finished = true;
        current.filter(exchange -> exchange.sent() && !exchange.ended())
                .ifPresent(exchange -> log.addAttempt(exchange, "unfinished"));
        deadlineTimer.dispose();
        stallTimer.stop();
        prefill.close();
        admission.end(answered, firstByteMilliseconds);
        current.ifPresent(exchange -> end.cancel(exchange, outcome, route.kind(), remaining()));
        end.record(outcome, status, answered, cause, firstByteMilliseconds);
    }

    private Duration remaining() {
        return deadline.minus(caller.elapsed());
    }
}
