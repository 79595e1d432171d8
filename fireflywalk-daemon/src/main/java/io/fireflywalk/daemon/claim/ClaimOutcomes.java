package io.fireflywalk.daemon.claim;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.claim.ClaimOperation;
import io.fireflywalk.core.claim.ClaimRecord;
import io.fireflywalk.core.claim.ClaimResult;
import io.fireflywalk.core.claim.ClaimState;
import io.fireflywalk.core.claim.StoredAnswer;
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
 * Outcomes of claims that the table service does not hold yet. Each is repeated until it is stored or too old; beyond
 * the bounds the oldest is dropped, after which its claim counts as in progress until its holder ends. Confined to one
 * event loop.
 */
final class ClaimOutcomes {
    private static final int MAXIMUM_PENDING = 4096;
    private static final long MAXIMUM_PENDING_BYTES = 32L * 1024 * 1024;
    private static final int ATTEMPTS_AT_OBJECT = 5;
    private static final Duration RETRY_PERIOD = Duration.ofMillis(500);
    /** Far below the expiry of claims, after which the row may belong to another request. */
    private static final Duration MAXIMUM_AGE = Duration.ofHours(1);

    private final ClaimRouter router;
    private final ObjectStore objects;
    private final TimerService timers;
    private final Counter dropped;
    private final Map<String, Outcome> pending = new LinkedHashMap<>();
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private long pendingBytes;

    ClaimOutcomes(ClaimRouter router, ObjectStore objects, TimerService timers, MetricRegistry metrics) {
        this.router = router;
        this.objects = objects;
        this.timers = timers;
        this.dropped = metrics.counter("claim_outcomes_dropped");
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

    /** Stores a state without an answer; starts without a subscription. */
    Completable store(ClaimDecision.GrantedClaim granted, ClaimState state) {
        return add(new Outcome(granted, granted.claim().with(state, Optional.empty()), Optional.empty()));
    }

    /** Stores an answer; starts without a subscription. */
    Completable store(ClaimDecision.GrantedClaim granted, Optional<ClaimDecision.Answer> answer) {
        if (answer.isEmpty()) {
            return store(granted, ClaimState.ANSWER_NOT_STORED);
        }
        Buffer body = answer.get().body();
        boolean inline = body.length() <= ClaimLimits.INLINE_BODY_BYTES;
        ClaimRecord claim = granted.claim();
        StoredAnswer stored = new StoredAnswer(
                answer.get().status(),
                answer.get().headers(),
                inline ? Optional.of(Base64.getEncoder().encodeToString(body.getBytes())) : Optional.empty(),
                inline ? Optional.empty() : Optional.of("claim/" + claim.hour() + "/" + claim.token()));
        return add(new Outcome(
                granted,
                claim.with(ClaimState.ANSWERED, Optional.of(stored)),
                inline ? Optional.empty() : Optional.of(body)));
    }

    private Completable add(Outcome outcome) {
        pending.put(outcome.token(), outcome);
        pendingBytes += outcome.bytes();
        Iterator<Outcome> oldest = pending.values().iterator();
        while (pending.size() > MAXIMUM_PENDING || pendingBytes > MAXIMUM_PENDING_BYTES) {
            Outcome removed = oldest.next();
            oldest.remove();
            pendingBytes -= removed.bytes();
            dropped.inc();
            removed.stored.onComplete();
        }
        attempt(outcome);
        return outcome.stored;
    }

    private void attempt(Outcome outcome) {
        if (outcome.busy) {
            return;
        }
        if (timers.monotonicNanoseconds() - outcome.startedAt > MAXIMUM_AGE.toNanos()) {
            dropped.inc();
            finish(outcome);
            return;
        }
        outcome.busy = true;
        subscriptions.add(putBody(outcome)
                .andThen(Single.defer(() -> router.submit(outcome.operation())))
                .observeOn(timers.scheduler())
                .subscribe(
                        result -> {
                            outcome.busy = false;
                            if (result.kind() != ClaimResult.Kind.UNAVAILABLE) {
                                finish(outcome);
                            }
                        },
                        cause -> {
                            outcome.busy = false;
                            outcome.failedObjects++;
                        }));
    }

    private Completable putBody(Outcome outcome) {
        if (outcome.body.isEmpty()) {
            return Completable.complete();
        }
        if (outcome.failedObjects >= ATTEMPTS_AT_OBJECT) {
            // The retry learns that the request was run, which matters more than its answer.
            outcome.wanted = outcome.wanted.with(ClaimState.ANSWER_NOT_STORED, Optional.empty());
            return Completable.complete();
        }
        String name = outcome.wanted.answer().flatMap(StoredAnswer::objectName).orElseThrow();
        return objects.put(name, outcome.body.get());
    }

    private void finish(Outcome outcome) {
        if (pending.remove(outcome.token(), outcome)) {
            pendingBytes -= outcome.bytes();
        }
        outcome.stored.onComplete();
    }

    private final class Outcome {
        private final ClaimDecision.GrantedClaim granted;
        private final Optional<Buffer> body;
        private final CompletableSubject stored = CompletableSubject.create();
        private final long startedAt = timers.monotonicNanoseconds();
        private ClaimRecord wanted;
        private boolean busy;
        private int failedObjects;

        Outcome(ClaimDecision.GrantedClaim granted, ClaimRecord wanted, Optional<Buffer> body) {
            this.granted = granted;
            this.wanted = wanted;
            this.body = body;
        }

        String token() {
            return granted.claim().token();
        }

        int bytes() {
            return body.map(Buffer::length).orElse(0);
        }

        ClaimOperation operation() {
            return new ClaimOperation(granted.key(), wanted, granted.version());
        }
    }
}
