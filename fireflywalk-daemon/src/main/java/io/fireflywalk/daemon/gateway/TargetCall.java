package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.error.RunState;
import io.fireflywalk.core.request.AttemptEvent;
import io.fireflywalk.core.request.RequestProgress;
import io.fireflywalk.core.routing.RequestFeatures;
import io.fireflywalk.core.usage.UsageAmount;
import io.fireflywalk.daemon.routing.AttemptLoadTracker;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Execution of one admitted request: attempts, retries within budgets and deadline, and exactly one outcome.
 * {@link RequestProgress} decides what may be sent and which run state the attempts prove. Confined to one event loop.
 */
abstract class TargetCall implements TargetAttempt.Listener {
    private static final String ADMITTED_HEADER = "x-engine-admitted";
    private static final String ATTEMPT_HEADER = "x-attempt-id";
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final GatewayContext context;
    private final RequestScope scope;
    private final String service;
    private final boolean idempotent;
    private final long startedNanoseconds;
    private final Duration deadline;
    private final List<TargetAttempt> openAttempts = new ArrayList<>();
    private final Set<String> triedTargets = new HashSet<>();
    private RequestProgress progress = RequestProgress.initial();
    private Optional<FireflywalkException> lastFailure = Optional.empty();
    private Disposable deadlineTimer = Disposable.disposed();
    private Disposable retryTimer = Disposable.disposed();
    private boolean finished;

    TargetCall(GatewayContext context, RequestScope scope, String service, boolean idempotent, Duration deadline) {
        this.context = context;
        this.scope = scope;
        this.service = service;
        this.idempotent = idempotent;
        this.deadline = deadline;
        this.startedNanoseconds = context.timers().monotonicNanoseconds();
    }

    /** Starts the first attempt. */
    final void start() {
        deadlineTimer = context.timers().after(deadline).subscribe(this::deadlineExceeded);
        scope.response().closeHandler(ignored -> callerDisconnected());
        scope.response().exceptionHandler(ignored -> callerDisconnected());
        if (!context.usage().hasCapacity(scope.clientAccount(), service, TargetCharge.REGULAR)) {
            fail(new FireflywalkException(
                    ErrorKind.STORE_UNAVAILABLE, "usage cannot be recorded at present", "usage records"));
            return;
        }
        startAttempt();
    }

    // Overridden by the kinds of calls

    /** Returns whether the target is suitable for the next attempt, regardless of breakers and earlier attempts. */
    abstract boolean eligible(Target target);

    /** Returns the time-out of the response headers, which starts when the request is written. */
    abstract Duration headerTimeout();

    /** Returns the HTTP method of the attempts. */
    abstract HttpMethod method();

    /** Returns path and query of the attempts. */
    abstract String uri();

    /** Returns whether targets are model engines, which echo the attempt identifier and accept cancellations. */
    abstract boolean targetsAreEngines();

    /** Handles a response that is neither a rejection nor a failure of the target. */
    abstract void handleResponse(TargetAttempt attempt, HttpClientResponse response);

    /** Returns whether the next attempt resumes a response whose beginning has been sent to the caller. */
    abstract boolean isResume();

    /** Returns whether everything needed for another attempt is still available. */
    abstract boolean canRetry();

    /** Returns the features of a model request for routing; empty for plain requests. */
    Optional<RequestFeatures> features() {
        return Optional.empty();
    }

    /** Releases the buffers and timers of the call. */
    abstract void release();

    /** Returns whether the call continues after its caller has disconnected, to store the outcome for a retry. */
    boolean continuesWithoutCaller() {
        return false;
    }

    /** Stores the complete response if the call stores outcomes; the end of the response waits for it. */
    Completable storeOutcome() {
        return Completable.complete();
    }

    /** Stores the failure if the call stores outcomes; the error response waits for it. */
    Completable storeFailure(RunState runState) {
        return Completable.complete();
    }

    // Attempts

    private void startAttempt() {
        if (finished) {
            return;
        }
        ChosenTarget chosen;
        try {
            chosen = chooseTarget();
        } catch (FireflywalkException exception) {
            fail(lastFailure.orElse(exception));
            return;
        }
        Target target = chosen.target();
        TargetAttempt attempt =
                new TargetAttempt(context, target, progress.attempts().size(), targetsAreEngines(), this);
        chosen.loadTracker().ifPresent(attempt::trackLoad);
        progress = progress.attemptStarted();
        triedTargets.add(target.name());
        openAttempts.add(attempt);
        context.targetPool().attemptStarted(target);
        context.retryController().attemptStarted(target);
        context.metrics().countAttempt();
        attempt.start(method(), uri(), idempotent, min(headerTimeout(), remaining()));
    }

    private ChosenTarget chooseTarget() throws FireflywalkException {
        // Retries use the current configuration, so that a target that has begun to leave gets none.
        ConfigurationSnapshot snapshot = context.snapshots().get();
        try {
            return choose(snapshot, target -> isAvailable(target) && !triedTargets.contains(target.name()));
        } catch (FireflywalkException exception) {
            if (triedTargets.isEmpty() || !openAttempts.isEmpty()) {
                throw exception;
            }
            // All available targets have been tried; backoff and circuit breakers limit the load of another round.
            triedTargets.clear();
            return choose(snapshot, this::isAvailable);
        }
    }

    private ChosenTarget choose(ConfigurationSnapshot snapshot, Predicate<Target> allowed) throws FireflywalkException {
        if (features().isEmpty()) {
            return new ChosenTarget(
                    context.targetPool().choose(snapshot, service, scope.requestId(), allowed), Optional.empty());
        }
        AttemptLoadTracker loadTracker = context.router()
                .choose(snapshot, service, scope.requestId(), features().get(), allowed);
        return new ChosenTarget(loadTracker.target(), Optional.of(loadTracker));
    }

    private boolean isAvailable(Target target) {
        return context.retryController().allows(target) && eligible(target);
    }

    @Override
    public final boolean maySend(TargetAttempt attempt) {
        if (finished || !progress.maySend(attempt.index(), idempotent)) {
            return false;
        }
        applyEvent(attempt, AttemptEvent.WRITE_STARTED);
        return true;
    }

    /** Copies the forwardable headers of the caller and adds those of the attempt. */
    final void writeHeaders(TargetAttempt attempt, HttpClientRequest request, boolean keepCookies) {
        HeaderFilter.copyToTarget(scope.request().headers(), request.headers(), scope.presentedKey(), keepCookies);
        request.putHeader("x-request-id", scope.requestId())
                .putHeader(ATTEMPT_HEADER, attempt.attemptId())
                .putHeader(
                        "x-deadline-ms", Long.toString(Math.max(1, remaining().toMillis())));
    }

    @Override
    public final void responseReceived(TargetAttempt attempt, HttpClientResponse response) {
        String echoed = response.getHeader(ATTEMPT_HEADER);
        int status = response.statusCode();
        boolean overloaded = status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
        boolean rejected = overloaded && "false".equals(response.getHeader(ADMITTED_HEADER));
        boolean unnamed = echoed == null;
        if (!targetsAreEngines()) {
            context.connections().recordNaming(attempt.target(), !unnamed);
        }
        if (!unnamed && !echoed.equals(attempt.attemptId())) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, "the target sent the answer to another request", null);
        } else if (unnamed && (attempt.connectionCarriedOthers() || (rejected && targetsAreEngines()))) {
            // It may be a second response to an earlier request.
            attempt.fail(ErrorKind.TARGET_PROTOCOL, "the answer names no attempt", null);
        } else if (rejected) {
            applyEvent(attempt, AttemptEvent.REFUSED);
            attempt.fail(ErrorKind.TARGET_REFUSED, "the target refused the request", null);
        } else if (idempotent && canRetry() && (overloaded || status >= 500)) {
            attempt.fail(ErrorKind.TARGET_FAILED, "the target answered with status " + status, null);
        } else if (targetsAreEngines() && unnamed) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, "the answer names no attempt", null);
        } else if (targetsAreEngines() && (overloaded || status >= 500)) {
            attempt.fail(ErrorKind.TARGET_FAILED, "the target answered with status " + status, null);
        } else {
            if (!overloaded && status < 500) {
                applyEvent(attempt, AttemptEvent.ANSWERED);
            }
            handleResponse(attempt, response);
        }
    }

    @Override
    public final void attemptFailed(TargetAttempt attempt, FireflywalkException cause) {
        closeAttempt(attempt);
        if (cause.kind() == ErrorKind.TARGET_REFUSED) {
            context.retryController().attemptAbandoned(attempt.target());
        } else {
            context.retryController().attemptFailed(attempt.target());
            context.targetPool().attemptFailed(attempt.target());
        }
        if (finished) {
            return;
        }
        lastFailure = Optional.of(cause);
        if (openAttempts.isEmpty()) {
            retryOrFail(cause);
        }
    }

    private void retryOrFail(FireflywalkException cause) {
        boolean allowed = progress.mayStartAttempt(idempotent)
                && canRetry()
                && progress.attempts().size() < context.settings().retries().maximumAttempts();
        // A resume continues admitted work and spends no budget, so that the loss of a zone does not exhaust it; the
        // maximum number of attempts and the deadline bound resumes.
        if (!allowed || !(isResume() || context.retryController().spend(service, scope.clientAccount()))) {
            fail(cause);
            return;
        }
        Duration delay = context.retryController().delay(progress.attempts().size() - 1);
        if (delay.compareTo(remaining()) >= 0) {
            fail(cause);
            return;
        }
        if (isResume()) {
            context.metrics().countResume();
        } else {
            context.metrics().countRetry();
        }
        retryTimer = context.timers().after(delay).subscribe(this::startAttempt);
    }

    /** Starts a second, concurrent attempt if the retry budgets allow it. */
    final void hedge() {
        if (!finished && openAttempts.size() == 1 && context.retryController().spend(service, scope.clientAccount())) {
            context.metrics().countHedge();
            startHedge();
        }
    }

    private void startHedge() {
        boolean untriedTargetExists = context.snapshots().get().targetsOf(service).stream()
                .anyMatch(target -> !target.leaving() && isAvailable(target) && !triedTargets.contains(target.name()));
        if (untriedTargetExists) {
            startAttempt();
        }
    }

    private void closeAttempt(TargetAttempt attempt) {
        if (openAttempts.remove(attempt)) {
            applyEvent(attempt, AttemptEvent.ENDED);
            context.targetPool().attemptEnded(attempt.target());
        }
    }

    private void applyEvent(TargetAttempt attempt, AttemptEvent event) {
        progress = progress.afterEvent(attempt.index(), event);
    }

    // Completion

    /** Ends the attempt after a complete response, keeps its connection for reuse and abandons all other attempts. */
    final void attemptCompleted(TargetAttempt attempt) {
        attempt.complete();
        attemptSucceeded(attempt);
    }

    /** Ends the attempt after a complete response whose connection is not at a message boundary. */
    final void attemptCompletedWithoutReuse(TargetAttempt attempt) {
        attempt.abandon();
        attemptSucceeded(attempt);
    }

    /** Records the success of the target and abandons all other attempts. */
    final void attemptSucceeded(TargetAttempt attempt) {
        closeAttempt(attempt);
        context.retryController().attemptSucceeded(attempt.target());
        abandonAttempts();
    }

    /** Records usage, stores the outcome and then ends the response. */
    final void succeed(TargetAttempt attempt, long promptTokens, long generatedTokens, Runnable writeEnd) {
        context.retryController().requestSucceeded(service, scope.clientAccount());
        UsageAmount amount = new UsageAmount(1, promptTokens, generatedTokens);
        Completable usageRecorded = context.usage()
                .record(
                        scope.requestId(),
                        scope.clientAccount(),
                        service,
                        attempt.target().charge(),
                        amount);
        Disposable unused = usageRecorded.mergeWith(storeOutcome()).subscribe(() -> endWithSuccess(writeEnd), cause -> {
            context.metrics().countUnrecordedUsage();
            endWithSuccess(writeEnd);
        });
    }

    private void endWithSuccess(Runnable writeEnd) {
        if (finish("success")) {
            writeEnd.run();
        }
    }

    /** Ends the call with an error that carries the run state proven by the attempts. */
    final void fail(FireflywalkException cause) {
        // Must precede the run state: attempts that have not been written are closed and can no longer be sent.
        abandonAttempts();
        RunState runState = progress.runState();
        if (finish(cause.kind().code())) {
            FireflywalkException error = cause.withRunState(runState);
            Disposable unused = storeFailure(runState).onErrorComplete().subscribe(() -> scope.fail(error));
        }
    }

    private void deadlineExceeded() {
        fail(new FireflywalkException(
                ErrorKind.DEADLINE_EXCEEDED, "the deadline of " + deadline.toMillis() + " ms passed", "request"));
    }

    private void callerDisconnected() {
        if (continuesWithoutCaller()) {
            return;
        }
        abandonAttempts();
        if (finish("caller_left")) {
            scope.completion().complete();
        }
    }

    private boolean finish(String outcome) {
        if (finished) {
            return false;
        }
        finished = true;
        deadlineTimer.dispose();
        retryTimer.dispose();
        release();
        context.metrics().countRequest(outcome);
        return true;
    }

    private void abandonAttempts() {
        for (TargetAttempt attempt : List.copyOf(openAttempts)) {
            attempt.abandon();
            closeAttempt(attempt);
            context.retryController().attemptAbandoned(attempt.target());
        }
    }

    // Used by the kinds of calls

    final GatewayContext context() {
        return context;
    }

    final RequestScope scope() {
        return scope;
    }

    final RunState runState() {
        return progress.runState();
    }

    final boolean finished() {
        return finished;
    }

    final long startedNanoseconds() {
        return startedNanoseconds;
    }

    final Duration remaining() {
        long elapsed = context.timers().monotonicNanoseconds() - startedNanoseconds;
        return deadline.minusNanos(elapsed);
    }

    /** Copies status and headers of the target's response to the caller's response. */
    final void copyResponseHead(HttpClientResponse response) {
        scope.response().setStatusCode(response.statusCode());
        HeaderFilter.copyToCaller(response.headers(), scope.response().headers());
        scope.response().putHeader(ErrorResponder.RUN_STATE_HEADER, runState().name());
    }

    final void endResponse(Buffer body) {
        scope.end(body);
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /** A target and, for model requests, the load tracker of the attempt. */
    private record ChosenTarget(Target target, Optional<AttemptLoadTracker> loadTracker) {}
}
