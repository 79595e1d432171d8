package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.admission.AdmissionDecision.State;
import io.fireflywalk.core.admission.AdmissionSettings;
import io.fireflywalk.core.admission.CompletionRates;
import io.fireflywalk.core.admission.PlaceEstimate;
import io.fireflywalk.core.admission.PlaceEstimate.Places;
import io.fireflywalk.core.admission.QueueDecision;
import io.fireflywalk.core.admission.QueueDecision.Reason;
import io.fireflywalk.core.admission.ResponseTimes;
import io.fireflywalk.core.admission.ReturnSchedule;
import io.fireflywalk.core.admission.ReturningRequests;
import io.fireflywalk.core.admission.WaitQueue;
import io.fireflywalk.core.admission.WaitingRequest;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Requests that wait for a free place at a target, by service, and the times at which refused callers should return. Owns
 * the timer and the waiting callers; {@link WaitQueue} decides. Without {@link DeploymentFeature#CONTENTION} every
 * request is admitted at once. Confined to one event loop.
 */
final class RequestQueue {
    /** Load reports arrive with the responses of other requests, so the estimates are read again while requests wait. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);
    /** Requests of further services are admitted at once. */
    private static final int MAXIMUM_SERVICES = 1024;

    private final boolean enabled;
    private final TimerService timers;
    private final RandomGenerator random;
    private final TargetDirectory directory;
    private final PlaceEstimate placeEstimate;
    private final CompletionRates completionRates;
    private final AccountPriorities accountPriorities;
    private final IngressMetrics metrics;
    private final ResponseTimes responseTimes = new ResponseTimes();
    private final ReturningRequests returningRequests = new ReturningRequests();
    private final Map<String, ServiceQueue> services = new HashMap<>();
    private long nextIdentifier;
    private Disposable timer = Disposable.disposed();
    private boolean timerRunning;

    /** Queue of one service with the callers that wait in it. */
    private static final class ServiceQueue {
        private final WaitQueue queue = new WaitQueue(AdmissionSettings.requestQueue());
        private final ReturnSchedule returns;
        private final Map<Long, Consumer<QueueDecision>> waiters = new HashMap<>();

        ServiceQueue(RandomGenerator random) {
            returns = new ReturnSchedule(random);
        }
    }

    /**
     * Creates the queue.
     *
     * @param enabled true if requests may wait
     */
    RequestQueue(
            boolean enabled,
            TimerService timers,
            RandomGenerator random,
            TargetDirectory directory,
            PlaceEstimate placeEstimate,
            CompletionRates completionRates,
            AccountPriorities accountPriorities,
            IngressMetrics metrics) {
        this.enabled = enabled;
        this.timers = timers;
        this.random = random;
        this.directory = directory;
        this.placeEstimate = placeEstimate;
        this.completionRates = completionRates;
        this.accountPriorities = accountPriorities;
        this.metrics = metrics;
    }

    /** Tells whether requests may wait. */
    boolean enabled() {
        return enabled;
    }

    /** Returns an identifier for a request that asks for a place. */
    long newIdentifier() {
        return nextIdentifier++;
    }

    /** Returns the priority of an account; 0 is the highest. */
    int accountPriority(String account) {
        return accountPriorities.of(account);
    }

    /** Returns the number of waiting requests. */
    int waiting() {
        return services.values().stream()
                .mapToInt(service -> service.queue.size())
                .sum();
    }

    ResponseTimes responseTimes() {
        return responseTimes;
    }

    ReturningRequests returningRequests() {
        return returningRequests;
    }

    /** Tells whether the service has a target that accepts requests, so that one of them may become free. */
    boolean hasTargets(String service) {
        return places(service).targets() > 0;
    }

    /**
     * Asks for a place. Runs {@code onDecision} once with the admission or the refusal, at once or after a wait.
     *
     * @param onQueued runs first if the request has to wait
     */
    void enter(
            String service,
            WaitingRequest request,
            Consumer<QueueDecision> onQueued,
            Consumer<QueueDecision> onDecision) {
        Optional<ServiceQueue> found = service(service);
        if (!enabled || found.isEmpty()) {
            onDecision.accept(QueueDecision.admitted(request.id(), Reason.PLACE_FREE));
            return;
        }
        ServiceQueue ofService = found.get();
        release(service, ofService, 0);
        long now = timers.monotonicNanoseconds();
        List<QueueDecision> decisions = ofService.queue.offer(request, places(service), now);
        ofService.waiters.put(request.id(), onDecision);
        QueueDecision own = decisions.get(decisions.size() - 1);
        if (own.outcome().state() == State.QUEUED) {
            metrics.count("queue_waits");
            onQueued.accept(own);
            startTimer();
        }
        apply(ofService, decisions);
    }

    /** Returns the decision that a request would get, and changes nothing; empty if requests never wait. */
    Optional<WaitQueue.Evaluation> evaluate(String service, WaitingRequest request) {
        return enabled
                ? Optional.of(
                        evaluated(service).queue.evaluate(request, places(service), timers.monotonicNanoseconds()))
                : Optional.empty();
    }

    /** Returns the queue of a service, or one that is not kept if the service has had no request. */
    private ServiceQueue evaluated(String service) {
        return Optional.ofNullable(services.get(service)).orElseGet(() -> new ServiceQueue(random));
    }

    /** Returns the same as {@link #retryAfter} without its random part, and changes nothing. */
    Optional<Duration> evaluateRetryAfter(String service) {
        long now = timers.monotonicNanoseconds();
        ServiceQueue ofService = evaluated(service);
        return ofService.returns.evaluate(
                backlog(service, ofService), completionRates.perSecond(service, now), Optional.empty(), now);
    }

    private int backlog(String service, ServiceQueue ofService) {
        int inProgress = directory.forService(service).stream()
                .mapToInt(TargetState::inFlight)
                .sum();
        return ofService.queue.size() + inProgress;
    }

    /** Removes a request that waits no longer. */
    void leave(String service, long identifier) {
        service(service).ifPresent(ofService -> {
            ofService.queue.cancel(identifier);
            ofService.waiters.remove(identifier);
        });
    }

    /** Records that a target has completed a request of this instance, so that its place is free. */
    void recordCompletion(String service) {
        completionRates.record(service, timers.monotonicNanoseconds());
        ServiceQueue ofService = services.get(service);
        if (ofService != null && ofService.queue.size() > 0) {
            release(service, ofService, 1);
        }
    }

    /** Records that a target has rejected a request because it has no place. */
    void recordRejection(String service) {
        service(service).ifPresent(ofService -> ofService.queue.recordRejection(timers.monotonicNanoseconds()));
    }

    /** Returns the time after which a caller that is refused for lack of places should return, if a drain is observed. */
    Optional<Duration> retryAfter(String service, Optional<Duration> remaining) {
        long now = timers.monotonicNanoseconds();
        double rate = completionRates.perSecond(service, now);
        return service(service)
                .flatMap(ofService -> ofService.returns.retryAfter(backlog(service, ofService), rate, remaining, now));
    }

    private Optional<ServiceQueue> service(String name) {
        ServiceQueue known = services.get(name);
        if (known == null && services.size() < MAXIMUM_SERVICES) {
            known = new ServiceQueue(random);
            services.put(name, known);
        }
        return Optional.ofNullable(known);
    }

    private Places places(String service) {
        return placeEstimate.places(service, timers.monotonicNanoseconds());
    }

    private void release(String service, ServiceQueue ofService, int completions) {
        if (ofService.queue.size() > 0) {
            apply(ofService, ofService.queue.release(places(service), completions, timers.monotonicNanoseconds()));
        }
    }

    private void apply(ServiceQueue ofService, List<QueueDecision> decisions) {
        for (QueueDecision decision : decisions) {
            if (decision.outcome().state() == State.QUEUED) {
                continue;
            }
            // A waiter may have left because of an earlier decision of the list.
            Consumer<QueueDecision> waiter =
                    ofService.waiters.remove(decision.outcome().id());
            if (waiter != null) {
                waiter.accept(decision);
            }
        }
    }

    private void startTimer() {
        if (!timerRunning) {
            timerRunning = true;
            timer = timers.repeat(CHECK_INTERVAL, "request queue", this::check);
        }
    }

    private void check() {
        for (Map.Entry<String, ServiceQueue> entry : List.copyOf(services.entrySet())) {
            release(entry.getKey(), entry.getValue(), 0);
        }
        if (waiting() == 0) {
            timerRunning = false;
            timer.dispose();
        }
    }
}
