package io.fireflywalk.daemon.claim;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.claim.ClaimOperation;
import io.fireflywalk.core.claim.ClaimRecord;
import io.fireflywalk.core.claim.ClaimResult;
import io.fireflywalk.core.claim.ClaimState;
import io.fireflywalk.core.claim.StoredResponse;
import io.fireflywalk.services.object.ObjectStore;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Base64;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Writes the outcomes of claims to the table service and retries each until it is stored or too old. If the pending
 * outcomes exceed the limits on number or size, the oldest is dropped; its claim then counts as in progress until the
 * holder ends. Confined to one event loop.
 */
final class ClaimOutcomeWriter {
    private static final int MAXIMUM_PENDING = 4096;
    private static final long MAXIMUM_PENDING_BYTES = 32L * 1024 * 1024;
    private static final int MAXIMUM_OBJECT_ATTEMPTS = 5;
    private static final Duration RETRY_PERIOD = Duration.ofMillis(500);
    /** Well below the expiry of claims, after which another request may have taken the row. */
    private static final Duration MAXIMUM_AGE = Duration.ofHours(1);

    private final ClaimRouter router;
    private final ObjectStore objects;
    private final TimerService timers;
    private final Counter droppedOutcomes;
    private final Map<String, PendingOutcome> pending = new LinkedHashMap<>();
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private long pendingBytes;

    ClaimOutcomeWriter(ClaimRouter router, ObjectStore objects, TimerService timers, MetricRegistry metrics) {
        this.router = router;
        this.objects = objects;
        this.timers = timers;
        this.droppedOutcomes = metrics.counter("claim_outcomes_dropped");
        metrics.gauge("claim_outcomes_pending", () -> (Gauge<Integer>) pending::size);
    }

    void start() {
        subscriptions.add(timers.every(RETRY_PERIOD)
                .observeOn(timers.scheduler())
                .subscribe(tick -> List.copyOf(pending.values()).forEach(this::attempt)));
    }

    void stop() {
        subscriptions.clear();
    }

    boolean isPending(String token) {
        return pending.containsKey(token);
    }

    /** Stores a state without a response; starts without a subscription. */
    Completable store(ClaimDecision.GrantedClaim granted, ClaimState state) {
        return add(new PendingOutcome(granted, granted.claim().with(state, Optional.empty()), Optional.empty()));
    }

    /** Stores a response; starts without a subscription. */
    Completable store(ClaimDecision.GrantedClaim granted, Optional<ClaimDecision.Response> response) {
        if (response.isEmpty()) {
            return store(granted, ClaimState.ANSWER_NOT_STORED);
        }
        Buffer body = response.get().body();
        boolean inline = body.length() <= ClaimLimits.INLINE_BODY_BYTES;
        ClaimRecord claim = granted.claim();
        StoredResponse storedResponse = new StoredResponse(
                response.get().status(),
                response.get().headers(),
                inline ? Optional.of(Base64.getEncoder().encodeToString(body.getBytes())) : Optional.empty(),
                inline ? Optional.empty() : Optional.of("claim/" + claim.hour() + "/" + claim.token()));
        return add(new PendingOutcome(
                granted,
                claim.with(ClaimState.ANSWERED, Optional.of(storedResponse)),
                inline ? Optional.empty() : Optional.of(body)));
    }

    private Completable add(PendingOutcome outcome) {
        pending.put(outcome.token(), outcome);
        pendingBytes += outcome.bodyBytes();
        Iterator<PendingOutcome> oldest = pending.values().iterator();
        while (pending.size() > MAXIMUM_PENDING || pendingBytes > MAXIMUM_PENDING_BYTES) {
            PendingOutcome removed = oldest.next();
            oldest.remove();
            pendingBytes -= removed.bodyBytes();
            droppedOutcomes.inc();
            removed.completion.onComplete();
        }
        attempt(outcome);
        return outcome.completion;
    }

    private void attempt(PendingOutcome outcome) {
        if (outcome.attemptInProgress) {
            return;
        }
        if (timers.monotonicNanoseconds() - outcome.startedAt > MAXIMUM_AGE.toNanos()) {
            droppedOutcomes.inc();
            complete(outcome);
            return;
        }
        outcome.attemptInProgress = true;
        subscriptions.add(putBody(outcome)
                .andThen(Single.defer(() -> router.submit(outcome.operation())))
                .observeOn(timers.scheduler())
                .subscribe(
                        result -> {
                            outcome.attemptInProgress = false;
                            if (result.kind() != ClaimResult.Kind.UNAVAILABLE) {
                                complete(outcome);
                            }
                        },
                        cause -> {
                            outcome.attemptInProgress = false;
                            outcome.failedAttempts++;
                        }));
    }

    private Completable putBody(PendingOutcome outcome) {
        if (outcome.body.isEmpty()) {
            return Completable.complete();
        }
        if (outcome.failedAttempts >= MAXIMUM_OBJECT_ATTEMPTS) {
            // Gives up the response, so that at least the fact that the request was executed gets stored.
            outcome.newClaim = outcome.newClaim.with(ClaimState.ANSWER_NOT_STORED, Optional.empty());
            return Completable.complete();
        }
        String name =
                outcome.newClaim.answer().flatMap(StoredResponse::objectName).orElseThrow();
        return objects.put(name, outcome.body.get());
    }

    private void complete(PendingOutcome outcome) {
        if (pending.remove(outcome.token(), outcome)) {
            pendingBytes -= outcome.bodyBytes();
        }
        outcome.completion.onComplete();
    }

    private final class PendingOutcome {
        private final ClaimDecision.GrantedClaim granted;
        private final Optional<Buffer> body;
        private final CompletableSubject completion = CompletableSubject.create();
        private final long startedAt = timers.monotonicNanoseconds();
        private ClaimRecord newClaim;
        private boolean attemptInProgress;
        private int failedAttempts;

        PendingOutcome(ClaimDecision.GrantedClaim granted, ClaimRecord newClaim, Optional<Buffer> body) {
            this.granted = granted;
            this.newClaim = newClaim;
            this.body = body;
        }

        String token() {
            return granted.claim().token();
        }

        int bodyBytes() {
            return body.map(Buffer::length).orElse(0);
        }

        ClaimOperation operation() {
            return new ClaimOperation(granted.key(), newClaim, granted.version());
        }
    }
}
