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
 * Course of one admitted request: attempts, repeats within budgets and deadline, and exactly one end. The attempt state
 * machine of the core decides what may be sent and which run state is true. Confined to one event loop.
 */
abstract class TargetCall implements TargetAttempt.Owner {
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
    private Disposable repeatTimer = Disposable.disposed();
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
    final void begin() {
        deadlineTimer = context.timers().after(deadline).subscribe(this::deadlinePassed);
        scope.response().closeHandler(ignored -> callerLeft());
        scope.response().exceptionHandler(ignored -> callerLeft());
        if (!context.usage().hasRoom(scope.clientAccount(), service, TargetCharge.REGULAR)) {
            fail(new FireflywalkException(
                    ErrorKind.STORE_UNAVAILABLE, "usage cannot be recorded at present", "usage records"));
            return;
        }
        startAttempt();
    }

    // Behaviour of the kinds of calls

    /** Tells whether the target may take the next attempt, apart from breakers and earlier attempts. */
    abstract boolean eligible(Target target);

    /** Returns the limit of the wait for the head of an answer. */
    abstract Duration headLimit();

    /** Returns method and path of the attempts. */
    abstract HttpMethod method();

    /** Returns path and query of the attempts. */
    abstract String uri();

    /** Tells whether targets are engines, which echo the attempt and take cancellations. */
    abstract boolean engine();

    /** Takes an answer that is neither a refusal nor a failure of the target. */
    abstract void answer(TargetAttempt attempt, HttpClientResponse response);

    /** Tells whether a repeat is a resume of an answer whose beginning the caller has. */
    abstract boolean resuming();

    /** Tells whether what is needed for a repeat is still held. */
    abstract boolean repeatable();

    /** Returns what routing knows of a model request; empty for plain requests. */
    Optional<RequestFeatures> features() {
        return Optional.empty();
    }

    /** Releases what the call holds. */
    abstract void release();

    /** Tells whether the call goes on when its caller has left, so that its outcome is known to a retry. */
    boolean runsWithoutCaller() {
        return false;
    }

    /** Stores the complete answer, if the call keeps outcomes; the end of the answer waits for it. */
    Completable outcomeStored() {
        return Completable.complete();
    }

    /** Stores that the call failed, if the call keeps outcomes; the error answer waits for it. */
    Completable failureStored(RunState runState) {
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
                new TargetAttempt(context, target, progress.attempts().size(), engine(), this);
        chosen.runner().ifPresent(attempt::observe);
        progress = progress.attemptStarted();
        triedTargets.add(target.name());
        openAttempts.add(attempt);
        context.pool().attemptStarted(target);
        context.retries().attemptStarted(target);
        context.metrics().attempt();
        attempt.start(method(), uri(), idempotent, min(headLimit(), remaining()));
    }

    private ChosenTarget chooseTarget() throws FireflywalkException {
        // Retries look at the configuration in force now, so that a leaving target gets no repeats.
        ConfigurationSnapshot snapshot = context.snapshots().get();
        try {
            return choose(snapshot, target -> mayTake(target) && !triedTargets.contains(target.name()));
        } catch (FireflywalkException exception) {
            if (triedTargets.isEmpty() || !openAttempts.isEmpty()) {
                throw exception;
            }
            // Every other target was tried; the backoff and the breaker keep the repeat from doing harm.
            triedTargets.clear();
            return choose(snapshot, this::mayTake);
        }
    }

    private ChosenTarget choose(ConfigurationSnapshot snapshot, Predicate<Target> allowed) throws FireflywalkException {
        if (features().isEmpty()) {
            return new ChosenTarget(
                    context.pool().choose(snapshot, service, scope.requestId(), allowed), Optional.empty());
        }
        AttemptLoadTracker runner = context.router()
                .choose(snapshot, service, scope.requestId(), features().get(), allowed);
        return new ChosenTarget(runner.target(), Optional.of(runner));
    }

    private boolean mayTake(Target target) {
        return context.retries().allows(target) && eligible(target);
    }

    @Override
    public final boolean maySend(TargetAttempt attempt) {
        if (finished || !progress.maySend(attempt.index(), idempotent)) {
            return false;
        }
        note(attempt, AttemptEvent.WRITE_STARTED);
        return true;
    }

    /** Writes the headers that every target gets. */
    final void writeHeaders(TargetAttempt attempt, HttpClientRequest request, boolean keepCookies) {
        HeaderFilter.copyToTarget(scope.request().headers(), request.headers(), scope.presentedKey(), keepCookies);
        request.putHeader("x-request-id", scope.requestId())
                .putHeader(ATTEMPT_HEADER, attempt.attemptId())
                .putHeader(
                        "x-deadline-ms", Long.toString(Math.max(1, remaining().toMillis())));
    }

    @Override
    public final void answered(TargetAttempt attempt, HttpClientResponse response) {
        String echoed = response.getHeader(ATTEMPT_HEADER);
        int status = response.statusCode();
        boolean overloaded = status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
        boolean refused = overloaded && "false".equals(response.getHeader(ADMITTED_HEADER));
        if (echoed != null && !echoed.equals(attempt.attemptId())) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, "the target sent the answer to another request", null);
        } else if (refused) {
            note(attempt, AttemptEvent.REFUSED);
            attempt.fail(ErrorKind.TARGET_REFUSED, "the target refused the request", null);
        } else if (idempotent && repeatable() && (overloaded || status >= 500)) {
            attempt.fail(ErrorKind.TARGET_FAILED, "the target answered with status " + status, null);
        } else if (engine() && echoed == null) {
            attempt.fail(ErrorKind.TARGET_PROTOCOL, "the answer names no attempt", null);
        } else if (engine() && (overloaded || status >= 500)) {
            attempt.fail(ErrorKind.TARGET_FAILED, "the target answered with status " + status, null);
        } else {
            if (!overloaded && status < 500) {
                note(attempt, AttemptEvent.ANSWERED);
            }
            answer(attempt, response);
        }
    }

    @Override
    public final void failed(TargetAttempt attempt, FireflywalkException cause) {
        close(attempt);
        if (cause.kind() == ErrorKind.TARGET_REFUSED) {
            context.retries().attemptAbandoned(attempt.target());
        } else {
            context.retries().attemptFailed(attempt.target());
            context.pool().attemptFailed(attempt.target());
        }
        if (finished) {
            return;
        }
        lastFailure = Optional.of(cause);
        if (openAttempts.isEmpty()) {
            repeat(cause);
        }
    }

    private void repeat(FireflywalkException cause) {
        boolean allowed = progress.mayAttemptAgain(idempotent)
                && repeatable()
                && progress.attempts().size() < context.settings().retries().maximumAttempts();
        // A resume continues admitted work, so the loss of a zone must not exhaust the budgets; the number of attempts
        // and the deadline bound it.
        if (!allowed || !(resuming() || context.retries().spend(service, scope.clientAccount()))) {
            fail(cause);
            return;
        }
        Duration delay = context.retries().delay(progress.attempts().size() - 1);
        if (delay.compareTo(remaining()) >= 0) {
            fail(cause);
            return;
        }
        if (resuming()) {
            context.metrics().resume();
        } else {
            context.metrics().retry();
        }
        repeatTimer = context.timers().after(delay).subscribe(this::startAttempt);
    }

    /** Starts a second attempt beside the open one if the budgets allow it. */
    final void hedge() {
        if (!finished && openAttempts.size() == 1 && context.retries().spend(service, scope.clientAccount())) {
            context.metrics().hedge();
            startHedge();
        }
    }

    private void startHedge() {
        boolean another = context.snapshots().get().targetsOf(service).stream()
                .anyMatch(target -> !target.leaving() && mayTake(target) && !triedTargets.contains(target.name()));
        if (another) {
            startAttempt();
        }
    }

    private void close(TargetAttempt attempt) {
        if (openAttempts.remove(attempt)) {
            note(attempt, AttemptEvent.ENDED);
            context.pool().attemptEnded(attempt.target());
        }
    }

    private void note(TargetAttempt attempt, AttemptEvent event) {
        progress = progress.on(attempt.index(), event);
    }

    // End of the call

    /** Ends the attempt whose answer is complete and abandons all others. */
    final void attemptCompleted(TargetAttempt attempt) {
        attempt.complete();
        attemptSucceeded(attempt);
    }

    /** Ends the attempt whose answer is complete, though its connection is not at a message boundary. */
    final void attemptSatisfied(TargetAttempt attempt) {
        attempt.abandon();
        attemptSucceeded(attempt);
    }

    /** Notes that the target gave a complete answer, and abandons all other attempts. */
    final void attemptSucceeded(TargetAttempt attempt) {
        close(attempt);
        context.retries().attemptSucceeded(attempt.target());
        abandonAttempts();
    }

    /** Records usage and the outcome, and then ends the answer. */
    final void succeed(TargetAttempt attempt, long promptTokens, long generatedTokens, Runnable ending) {
        context.retries().requestSucceeded(service, scope.clientAccount());
        UsageAmount amount = new UsageAmount(1, promptTokens, generatedTokens);
        Completable recorded = context.usage()
                .record(
                        scope.requestId(),
                        scope.clientAccount(),
                        service,
                        attempt.target().charge(),
                        amount);
        Disposable unused = recorded.mergeWith(outcomeStored()).subscribe(() -> end(ending), cause -> {
            context.metrics().usageFailed();
            end(ending);
        });
    }

    private void end(Runnable ending) {
        if (finish("success")) {
            ending.run();
        }
    }

    /** Ends the call with an error whose run state is what the attempts prove. */
    final void fail(FireflywalkException cause) {
        // Abandoning first closes attempts that have not written, which then never will.
        abandonAttempts();
        RunState runState = progress.runState();
        if (finish(cause.kind().code())) {
            FireflywalkException answer = cause.withRunState(runState);
            Disposable unused = failureStored(runState).onErrorComplete().subscribe(() -> scope.fail(answer));
        }
    }

    private void deadlinePassed() {
        fail(new FireflywalkException(
                ErrorKind.DEADLINE_EXCEEDED, "the deadline of " + deadline.toMillis() + " ms passed", "request"));
    }

    private void callerLeft() {
        if (runsWithoutCaller()) {
            return;
        }
        abandonAttempts();
        if (finish("caller_left")) {
            scope.ended().ended();
        }
    }

    private boolean finish(String outcome) {
        if (finished) {
            return false;
        }
        finished = true;
        deadlineTimer.dispose();
        repeatTimer.dispose();
        release();
        context.metrics().requestEnded(outcome);
        return true;
    }

    private void abandonAttempts() {
        for (TargetAttempt attempt : List.copyOf(openAttempts)) {
            attempt.abandon();
            close(attempt);
            context.retries().attemptAbandoned(attempt.target());
        }
    }

    // Shared by the kinds of calls

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

    /** Begins the caller's response with the head of the answer. */
    final void copyHead(HttpClientResponse response) {
        scope.response().setStatusCode(response.statusCode());
        HeaderFilter.copyToCaller(response.headers(), scope.response().headers());
        scope.response().putHeader(ErrorResponder.RUN_STATE_HEADER, runState().name());
    }

    /** Sends a whole body to the caller. */
    final void endWith(Buffer body) {
        scope.end(body);
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /** A target and, for model requests, the watch of the attempt in the load estimates. */
    private record ChosenTarget(Target target, Optional<AttemptLoadTracker> runner) {}
}
