package io.fireflywalk.daemon.claim;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.fireflywalk.core.claim.ClaimOperation;
import io.fireflywalk.core.claim.ClaimRecord;
import io.fireflywalk.core.claim.ClaimResult;
import io.fireflywalk.core.claim.ClaimState;
import io.fireflywalk.core.claim.StoredAnswer;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.error.RunState;
import io.fireflywalk.core.membership.Member;
import io.fireflywalk.core.security.SecretDigest;
import io.fireflywalk.daemon.peer.MemberDirectory;
import io.fireflywalk.services.object.ObjectStore;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import java.util.Base64;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Claims the idempotency key of a non-idempotent request before its first attempt, and stores the outcome afterwards.
 * Confined to one event loop.
 */
public final class ClaimService {
    private static final long MILLISECONDS_PER_HOUR = 3_600_000;
    private static final String LOCATION = "idempotency claim";

    private final ClaimRouter router;
    private final ClaimOutcomes outcomes;
    private final ObjectStore objects;
    private final MemberDirectory members;
    private final Member self;
    private final TimerService timers;
    private final ClaimLimits limits;
    private final Timer claimTime;
    private final Counter refused;
    private final Set<String> running = new HashSet<>();

    public ClaimService(
            ClaimRouter router,
            ObjectStore objects,
            MemberDirectory members,
            Member self,
            TimerService timers,
            ClaimLimits limits,
            MetricRegistry metrics) {
        this.router = router;
        this.outcomes = new ClaimOutcomes(router, objects, timers, metrics);
        this.objects = objects;
        this.members = members;
        this.self = self;
        this.timers = timers;
        this.limits = limits;
        this.claimTime = metrics.timer("claim_time");
        this.refused = metrics.counter("claims_refused");
    }

    /** Starts to repeat outcomes that could not be stored. */
    public void start() {
        outcomes.start();
    }

    /** Stops. */
    public void stop() {
        outcomes.stop();
    }

    /**
     * Claims the key for the request, before any attempt. Emits a granted claim or the stored answer. Fails with {@code
     * CLAIM_IN_PROGRESS}, {@code OUTCOME_UNKNOWN}, {@code CLAIM_MISMATCH}, or with {@code STORE_UNAVAILABLE} and run
     * state {@code NOT_RUN}, after which the claim is given up in the background.
     */
    public Single<ClaimDecision> claimBeforeFirstAttempt(
            String clientAccount, String idempotencyKey, String requestDigest) {
        return Single.defer(() -> {
            long startedAt = timers.monotonicNanoseconds();
            String key = clientAccount + "/" + SecretDigest.of(idempotencyKey);
            ClaimRecord wanted = new ClaimRecord(
                    ClaimState.IN_PROGRESS,
                    requestDigest,
                    self.incarnation(),
                    UUID.randomUUID().toString(),
                    timers.wallClockMilliseconds() / MILLISECONDS_PER_HOUR,
                    Optional.empty());
            running.add(wanted.token());
            return router.submit(new ClaimOperation(key, wanted, 0))
                    .timeout(limits.deadline().toNanos(), TimeUnit.NANOSECONDS, timers.scheduler())
                    .observeOn(timers.scheduler())
                    .doOnSuccess(
                            result -> claimTime.update(timers.monotonicNanoseconds() - startedAt, TimeUnit.NANOSECONDS))
                    .onErrorReturn(ClaimService::unavailable)
                    .flatMap(result -> decide(key, wanted, result))
                    .doOnError(cause -> running.remove(wanted.token()))
                    .doOnDispose(() -> giveUp(key, wanted));
        });
    }

    /**
     * Stores the answer of a granted claim; an empty answer is too large to be stored. Completes when the outcome is
     * stored or the longest hold has passed; it is stored in the background then.
     */
    public Completable storeOutcome(ClaimDecision.GrantedClaim granted, Optional<ClaimDecision.Answer> answer) {
        running.remove(granted.claim().token());
        return held(outcomes.store(granted, answer));
    }

    /** Notes that a target may have run the request and that its answer is not known. */
    public Completable storeUnknown(ClaimDecision.GrantedClaim granted) {
        running.remove(granted.claim().token());
        return held(outcomes.store(granted, ClaimState.OUTCOME_UNKNOWN));
    }

    /** Gives the claim up after no target ran the request, so that a retry may run it. */
    public Completable release(ClaimDecision.GrantedClaim granted) {
        running.remove(granted.claim().token());
        return held(outcomes.store(granted, ClaimState.RELEASED));
    }

    private Completable held(Completable stored) {
        return stored.timeout(limits.outcomeHold().toNanos(), TimeUnit.NANOSECONDS, timers.scheduler())
                .observeOn(timers.scheduler())
                .onErrorComplete(TimeoutException.class::isInstance);
    }

    private static ClaimResult unavailable(Throwable cause) {
        return new ClaimResult(ClaimResult.Kind.UNAVAILABLE, 0, Optional.empty());
    }

    private Single<ClaimDecision> decide(String key, ClaimRecord wanted, ClaimResult result) {
        return switch (result.kind()) {
            case DONE -> Single.just(ClaimDecision.run(new ClaimDecision.GrantedClaim(key, wanted, result.version())));
            case EXISTING -> existing(result.existing().orElseThrow());
            case MISMATCH ->
                Single.error(error(
                        ErrorKind.CLAIM_MISMATCH,
                        RunState.NOT_RUN,
                        "the idempotency key was used for another request"));
            case SUPERSEDED, UNAVAILABLE -> {
                refused.inc();
                giveUp(key, wanted);
                yield Single.error(error(
                        ErrorKind.STORE_UNAVAILABLE, RunState.NOT_RUN, "the idempotency key cannot be claimed now"));
            }
        };
    }

    private void giveUp(String key, ClaimRecord wanted) {
        running.remove(wanted.token());
        // The operation may still take effect; the key must not stay claimed by a request that never runs.
        outcomes.store(new ClaimDecision.GrantedClaim(key, wanted, 0), ClaimState.RELEASED);
    }

    private Single<ClaimDecision> existing(ClaimRecord claim) {
        return switch (claim.state()) {
            case ANSWERED -> stored(claim.answer().orElseThrow());
            case ANSWER_NOT_STORED ->
                Single.error(error(
                        ErrorKind.OUTCOME_UNKNOWN, RunState.RUN, "the request was run; its answer was not stored"));
            case IN_PROGRESS ->
                Single.error(
                        isRunning(claim)
                                ? error(
                                        ErrorKind.CLAIM_IN_PROGRESS,
                                        RunState.UNKNOWN,
                                        "the first request with this idempotency key is in progress")
                                : error(
                                        ErrorKind.OUTCOME_UNKNOWN,
                                        RunState.UNKNOWN,
                                        "the instance that took the first request has ended"));
            case OUTCOME_UNKNOWN, RELEASED ->
                Single.error(error(ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN, "the first request may have been run"));
        };
    }

    private boolean isRunning(ClaimRecord claim) {
        if (claim.holder().equals(self.incarnation())) {
            return running.contains(claim.token()) || outcomes.isPending(claim.token());
        }
        return members.liveMembers().stream()
                .anyMatch(member -> member.incarnation().equals(claim.holder()));
    }

    private Single<ClaimDecision> stored(StoredAnswer answer) {
        if (answer.objectName().isEmpty()) {
            Buffer body = Buffer.buffer(Base64.getDecoder().decode(answer.body().orElse("")));
            return Single.just(ClaimDecision.replay(new ClaimDecision.Answer(answer.status(), answer.headers(), body)));
        }
        return objects.get(answer.objectName().get())
                .onErrorResumeNext(cause -> Single.error(
                        error(ErrorKind.STORE_UNAVAILABLE, RunState.RUN, "the stored answer cannot be read now")))
                .observeOn(timers.scheduler())
                .flatMap(body -> body.isPresent()
                        ? Single.just(ClaimDecision.replay(
                                new ClaimDecision.Answer(answer.status(), answer.headers(), body.get())))
                        : Single.error(error(
                                ErrorKind.OUTCOME_UNKNOWN, RunState.RUN, "the request was run; its answer is gone")));
    }

    private static FireflywalkException error(ErrorKind kind, RunState runState, String detail) {
        return new FireflywalkException(kind, runState, detail, LOCATION, null);
    }
}
