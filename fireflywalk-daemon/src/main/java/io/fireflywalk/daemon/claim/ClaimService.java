package io.fireflywalk.daemon.claim;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.fireflywalk.core.claim.ClaimOperation;
import io.fireflywalk.core.claim.ClaimRecord;
import io.fireflywalk.core.claim.ClaimResult;
import io.fireflywalk.core.claim.ClaimState;
import io.fireflywalk.core.claim.StoredResponse;
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
    private final ClaimOutcomeWriter outcomeWriter;
    private final ObjectStore objects;
    private final MemberDirectory members;
    private final Member self;
    private final TimerService timers;
    private final ClaimLimits limits;
    private final Timer claimTimer;
    private final Counter refusedClaims;
    private final Set<String> runningTokens = new HashSet<>();

    public ClaimService(
            ClaimRouter router,
            ObjectStore objects,
            MemberDirectory members,
            Member self,
            TimerService timers,
            ClaimLimits limits,
            MetricRegistry metrics) {
        this.router = router;
        this.outcomeWriter = new ClaimOutcomeWriter(router, objects, timers, metrics);
        this.objects = objects;
        this.members = members;
        this.self = self;
        this.timers = timers;
        this.limits = limits;
        this.claimTimer = metrics.timer("claim_time");
        this.refusedClaims = metrics.counter("claims_refused");
    }

    /** Starts retrying outcomes that could not be stored. */
    public void start() {
        outcomeWriter.start();
    }

    /** Stops the retries. */
    public void stop() {
        outcomeWriter.stop();
    }

    /**
     * Claims the key for the request, before any attempt. Emits a granted claim or the stored response. Fails with
     * {@code CLAIM_IN_PROGRESS}, {@code OUTCOME_UNKNOWN}, {@code CLAIM_MISMATCH}, or with {@code STORE_UNAVAILABLE} and
     * run state {@code NOT_RUN}, after which the claim is released in the background.
     */
    public Single<ClaimDecision> claimBeforeFirstAttempt(
            String clientAccount, String idempotencyKey, String requestDigest) {
        return Single.defer(() -> {
            long startedAt = timers.monotonicNanoseconds();
            String key = clientAccount + "/" + SecretDigest.of(idempotencyKey);
            ClaimRecord newClaim = new ClaimRecord(
                    ClaimState.IN_PROGRESS,
                    requestDigest,
                    self.incarnation(),
                    UUID.randomUUID().toString(),
                    timers.wallClockMilliseconds() / MILLISECONDS_PER_HOUR,
                    Optional.empty());
            runningTokens.add(newClaim.token());
            return router.submit(new ClaimOperation(key, newClaim, 0))
                    .timeout(limits.claimTimeout().toNanos(), TimeUnit.NANOSECONDS, timers.scheduler())
                    .observeOn(timers.scheduler())
                    .doOnSuccess(result ->
                            claimTimer.update(timers.monotonicNanoseconds() - startedAt, TimeUnit.NANOSECONDS))
                    .onErrorReturn(ClaimService::unavailable)
                    .flatMap(result -> decide(key, newClaim, result))
                    .doOnError(cause -> runningTokens.remove(newClaim.token()))
                    .doOnDispose(() -> abandon(key, newClaim));
        });
    }

    /**
     * Stores the response to a request with a granted claim; empty means that the response is too large to be stored.
     * Completes when the outcome is stored or after a time limit, in which case storing continues in the background.
     */
    public Completable storeOutcome(ClaimDecision.GrantedClaim granted, Optional<ClaimDecision.Response> response) {
        runningTokens.remove(granted.claim().token());
        return awaitStored(outcomeWriter.store(granted, response));
    }

    /** Stores that a target may have executed the request and that its response is not known. */
    public Completable storeOutcomeUnknown(ClaimDecision.GrantedClaim granted) {
        runningTokens.remove(granted.claim().token());
        return awaitStored(outcomeWriter.store(granted, ClaimState.OUTCOME_UNKNOWN));
    }

    /** Releases the claim of a request that no target executed, so that a retry may be executed. */
    public Completable releaseClaim(ClaimDecision.GrantedClaim granted) {
        runningTokens.remove(granted.claim().token());
        return awaitStored(outcomeWriter.store(granted, ClaimState.RELEASED));
    }

    private Completable awaitStored(Completable storing) {
        return storing.timeout(limits.outcomeStoreTimeout().toNanos(), TimeUnit.NANOSECONDS, timers.scheduler())
                .observeOn(timers.scheduler())
                .onErrorComplete(TimeoutException.class::isInstance);
    }

    private static ClaimResult unavailable(Throwable cause) {
        return new ClaimResult(ClaimResult.Kind.UNAVAILABLE, 0, Optional.empty());
    }

    private Single<ClaimDecision> decide(String key, ClaimRecord newClaim, ClaimResult result) {
        return switch (result.kind()) {
            case DONE ->
                Single.just(ClaimDecision.execute(new ClaimDecision.GrantedClaim(key, newClaim, result.version())));
            case EXISTING -> decideExisting(result.existing().orElseThrow());
            case MISMATCH ->
                Single.error(error(
                        ErrorKind.CLAIM_MISMATCH,
                        RunState.NOT_RUN,
                        "the idempotency key was used for another request"));
            case SUPERSEDED, UNAVAILABLE -> {
                refusedClaims.inc();
                abandon(key, newClaim);
                yield Single.error(error(
                        ErrorKind.STORE_UNAVAILABLE, RunState.NOT_RUN, "the idempotency key cannot be claimed now"));
            }
        };
    }

    private void abandon(String key, ClaimRecord newClaim) {
        runningTokens.remove(newClaim.token());
        // The operation may still take effect, and the key must not stay claimed by a request that is never executed.
        outcomeWriter.store(new ClaimDecision.GrantedClaim(key, newClaim, 0), ClaimState.RELEASED);
    }

    private Single<ClaimDecision> decideExisting(ClaimRecord claim) {
        return switch (claim.state()) {
            case ANSWERED -> replayStored(claim.answer().orElseThrow());
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
            return runningTokens.contains(claim.token()) || outcomeWriter.isPending(claim.token());
        }
        return members.liveMembers().stream()
                .anyMatch(member -> member.incarnation().equals(claim.holder()));
    }

    private Single<ClaimDecision> replayStored(StoredResponse storedResponse) {
        if (storedResponse.objectName().isEmpty()) {
            Buffer body = Buffer.buffer(
                    Base64.getDecoder().decode(storedResponse.body().orElse("")));
            return Single.just(ClaimDecision.replay(
                    new ClaimDecision.Response(storedResponse.status(), storedResponse.headers(), body)));
        }
        return objects.get(storedResponse.objectName().get())
                .onErrorResumeNext(cause -> Single.error(
                        error(ErrorKind.STORE_UNAVAILABLE, RunState.RUN, "the stored answer cannot be read now")))
                .observeOn(timers.scheduler())
                .flatMap(body -> body.isPresent()
                        ? Single.just(ClaimDecision.replay(new ClaimDecision.Response(
                                storedResponse.status(), storedResponse.headers(), body.get())))
                        : Single.error(error(
                                ErrorKind.OUTCOME_UNKNOWN, RunState.RUN, "the request was run; its answer is gone")));
    }

    private static FireflywalkException error(ErrorKind kind, RunState runState, String detail) {
        return new FireflywalkException(kind, runState, detail, LOCATION, null);
    }
}
