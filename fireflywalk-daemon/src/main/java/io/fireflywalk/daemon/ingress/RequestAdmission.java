package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.admission.AdmissionDecision.State;
import io.fireflywalk.core.admission.AdmissionSettings;
import io.fireflywalk.core.admission.QueueDecision;
import io.fireflywalk.core.admission.ResponseTimes.Times;
import io.fireflywalk.core.admission.ReturnSchedule;
import io.fireflywalk.core.admission.WaitingRequest;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.ingress.HostRoute;
import io.fireflywalk.core.ingress.PromptPart;
import io.fireflywalk.core.ingress.RequestDescription;
import io.fireflywalk.core.membership.RendezvousHashing;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Admission of one request to the targets of its service: before the first attempt, and after rejections. Confined to one
 * event loop.
 */
final class RequestAdmission {
    /** Bounds how often a request waits; the wait itself is bounded by what is left until its objective and deadline. */
    private static final int MAXIMUM_ENTRIES = 5;
    /** Refusals for lack of places; the other ones say nothing about when there will be one. */
    private static final Set<ErrorKind> NO_PLACES =
            Set.of(ErrorKind.NO_PLACE, ErrorKind.TARGET_REFUSED, ErrorKind.QUEUE_FULL);

    /** Spreads the return of callers that are refused while all targets want no requests. */
    private static final int RETURN_SPREAD_MILLISECONDS = 500;

    /** Rejections in a row after which the estimate of free places is not trusted for a moment. */
    private static final int TRUSTED_REJECTIONS = 2;
    /** Pause after each further rejection; a target that rejects gets no request of this instance for 300 ms. */
    private static final Duration REJECTION_PAUSE = Duration.ofMillis(50);

    private static final double TOKENS_PER_COST_UNIT = 1000;
    /** Cost of a request without tokens, and the least cost of one with tokens. */
    private static final double PLAIN_COST = 1;

    private static final double MINIMUM_PROMPT_COST = 0.2;

    private final IngressContext context;
    private final RequestQueue queue;
    private final CallerExchange caller;
    private final HostRoute route;
    private final RequestDescription description;
    private final Optional<String> clientAccount;
    private final String service;
    private final Duration deadline;
    private final RequestAttempts attempts;
    private final long identifier;
    private int entries;
    private boolean waiting;
    private long enteredAt;
    private long waitedNanoseconds;
    private long admittedAt;
    private long rankedAt;
    private boolean refused;
    private String reason = "-";
    /** Expected wait that decided on the last entry; -1 if not known. */
    private long expectedWaitNanoseconds = -1;

    RequestAdmission(
            IngressContext context,
            CallerExchange caller,
            HostRoute route,
            RequestDescription description,
            Optional<String> clientAccount,
            String service,
            Duration deadline,
            RequestAttempts attempts) {
        this.context = context;
        this.queue = context.requestQueue();
        this.caller = caller;
        this.route = route;
        this.description = description;
        this.clientAccount = clientAccount;
        this.service = service;
        this.deadline = deadline;
        this.attempts = attempts;
        this.identifier = queue.newIdentifier();
        this.rankedAt = caller.arrivedAt();
    }

    /** Runs {@code onAdmitted} once the request may be sent to a target, or {@code onRefused} with kind and cause. */
    void enter(Runnable onAdmitted, BiConsumer<ErrorKind, String> onRefused) {
        if (!queue.enabled()) {
            onAdmitted.run();
            return;
        }
        if (entries == 0) {
            rankedAt = recognisableHash()
                    .map(hash -> queue.returningRequests().takeRank(hash, caller.arrivedAt()))
                    .orElse(caller.arrivedAt());
        }
        entries++;
        enteredAt = context.timers().monotonicNanoseconds();
        queue.enter(service, request(), this::startWait, decision -> {
            boolean waited = waiting;
            endWait();
            reason = decision.reason().code();
            if (decision.outcome().state() == State.ADMITTED) {
                admittedAt = context.timers().monotonicNanoseconds();
                if (waited) {
                    attempts.readmitRejectingTargets();
                }
                onAdmitted.run();
            } else {
                refused = true;
                expectedWaitNanoseconds = Math.max(expectedWaitNanoseconds, decision.expectedWaitNanoseconds());
                context.metrics().count("queue_refusals_" + reason);
                onRefused.accept(decision.outcome().refusal().get(), "all targets are full, queue decision " + reason);
            }
        });
    }

    private void startWait(QueueDecision decision) {
        waiting = true;
        reason = decision.reason().code();
        expectedWaitNanoseconds = decision.expectedWaitNanoseconds();
    }

    /** Has the request wait again because no target could be chosen; returns false if it must fail instead. */
    boolean enterAgain(Runnable onAdmitted, BiConsumer<ErrorKind, String> onRefused) {
        if (!queue.enabled() || entries >= MAXIMUM_ENTRIES || !queue.hasTargets(service)) {
            return false;
        }
        attempts.readmitRejectingTargets();
        enter(onAdmitted, onRefused);
        return true;
    }

    private WaitingRequest request() {
        return request(
                queue,
                identifier,
                route,
                clientAccount,
                entries > 1 ? 0 : cost(description),
                deadline,
                enteredAt + REJECTION_PAUSE.toNanos() * Math.max(0, attempts.rejections() - TRUSTED_REJECTIONS),
                rankedAt,
                caller.arrivedAt());
    }

    /** Returns the request that the queue would get of a caller that arrives now. */
    static WaitingRequest arriving(
            RequestQueue queue,
            HostRoute route,
            Optional<String> clientAccount,
            RequestDescription description,
            long now) {
        // An identifier after all others, because the latest of equal requests is served last.
        return request(queue, Long.MAX_VALUE, route, clientAccount, cost(description), route.timeout(), now, now, now);
    }

    private static WaitingRequest request(
            RequestQueue queue,
            long identifier,
            HostRoute route,
            Optional<String> clientAccount,
            double cost,
            Duration deadline,
            long earliestAt,
            long rankedAt,
            long arrivedAt) {
        Times expected = queue.responseTimes().of(route.name());
        long objective = route.latencyObjective().toNanos();
        return new WaitingRequest(
                identifier,
                clientAccount.orElse(""),
                queue.accountPriority(clientAccount.orElse("")),
                route.priority(),
                cost,
                earliestAt,
                rankedAt,
                objective,
                arrivedAt + objective,
                arrivedAt + deadline.toNanos(),
                expected.toStart(),
                expected.toEnd());
    }

    private static double cost(RequestDescription description) {
        if (description.promptTokens() <= 0) {
            return PLAIN_COST;
        }
        double tokens = description.promptTokens()
                + AdmissionSettings.requestQueue().outputWeight() * description.maximumGeneratedTokens();
        return Math.max(MINIMUM_PROMPT_COST, tokens / TOKENS_PER_COST_UNIT);
    }

    /** Returns a hash that the caller's repeat of the request has as well; empty if nothing of the request recurs. */
    private Optional<Long> recognisableHash() {
        List<PromptPart> parts = description.promptParts();
        return parts.isEmpty()
                ? Optional.empty()
                : Optional.of(RendezvousHashing.hash(service
                        + '\n'
                        + clientAccount.orElse("")
                        + '\n'
                        + parts.get(parts.size() - 1).identifier()));
    }

    /** Records that a target has rejected the request. */
    void recordRejection() {
        queue.recordRejection(service);
    }

    /** Ends the admission of a request that has been answered or whose caller has left. */
    void end(boolean answered, long firstByteMilliseconds) {
        if (waiting) {
            queue.leave(service, identifier);
            endWait();
        }
        if (queue.enabled() && answered && attempts.possiblyRun() <= 1) {
            long beforeDispatch = admittedAt - caller.arrivedAt();
            long toStart = Duration.ofMillis(firstByteMilliseconds).toNanos() - beforeDispatch;
            queue.responseTimes()
                    .record(route.name(), Math.max(0, toStart), caller.elapsed().toNanos() - beforeDispatch);
        }
    }

    private void endWait() {
        if (waiting) {
            waiting = false;
            long waited = context.timers().monotonicNanoseconds() - enteredAt;
            waitedNanoseconds += waited;
            context.metrics().queueWait(waited);
        }
    }

    /** Returns a time after which a target wants requests again, if all of them want none now. */
    Optional<Duration> timeUntilFirstReturn() {
        return context.directory()
                .timeUntilFirstReturn(service)
                .map(earliest -> earliest.plusMillis(context.random().nextInt(RETURN_SPREAD_MILLISECONDS)));
    }

    /** Returns the time after which the refused caller should return; empty for the default. */
    Optional<Duration> retryAfter(ErrorKind kind) {
        if (!lacksPlaces(kind, refused)) {
            return Optional.empty();
        }
        Optional<Duration> remaining = description.deadline().map(stated -> stated.minus(caller.elapsed()));
        if (queue.enabled()) {
            recognisableHash().ifPresent(hash -> queue.returningRequests().recordRefusal(hash, rankedAt));
        }
        return queue.retryAfter(service, remaining)
                .or(() -> queue.enabled()
                        ? Optional.of(ReturnSchedule.limit(CallerExchange.RETRY_AFTER, remaining))
                        : Optional.empty());
    }

    /** Tells whether a refusal is for lack of places, so that its caller returns by the schedule of its service. */
    static boolean lacksPlaces(ErrorKind kind, boolean refusedByQueue) {
        return NO_PLACES.contains(kind) || (refusedByQueue && kind == ErrorKind.DEADLINE_UNREACHABLE);
    }

    /** Returns the fields of the request's log line that tell whether and why it waited; empty if requests never wait. */
    String logFields() {
        return queue.enabled()
                ? String.format(
                        "queue=%s queue_entries=%d wait_ms=%d expected_wait_ms=%d",
                        reason,
                        entries,
                        Duration.ofNanos(waitedNanoseconds).toMillis(),
                        expectedWaitNanoseconds < 0
                                ? -1
                                : Duration.ofNanos(expectedWaitNanoseconds).toMillis())
                : "";
    }
}
