package io.fireflywalk.services.table;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * Retries calls to another table service within a deadline and resolves unknown outcomes. A transaction is retried under
 * the same identifier, for which the service applies it at most once. If a retry conflicts or the time for retries is
 * over, the outcome is resolved with a cancellation marker under that identifier: if the marker is written, the
 * transaction can no longer take effect; if it is refused, the existing marker row states the outcome. {@code
 * STORE_UNAVAILABLE} means no effect, now or later; {@code STORE_OUTCOME_UNKNOWN} is reported only if the service stays
 * unavailable until the deadline. Thread-safe.
 */
public final class ResolvingTableService implements TableService {
    private static final String LOCATION = "table service";
    /** Fraction of the call deadline for retries; the rest is left for resolving an unknown outcome. */
    private static final double RETRY_FRACTION = 0.5;

    private final TableService delegate;
    private final TimerService timers;
    private final TableRetryPolicy policy;
    private final DoubleSupplier randomFraction;
    private final TableMetrics metrics;

    public ResolvingTableService(
            TableService delegate,
            TimerService timers,
            TableRetryPolicy policy,
            DoubleSupplier randomFraction,
            TableMetrics metrics) {
        this.delegate = delegate;
        this.timers = timers;
        this.policy = policy;
        this.randomFraction = randomFraction;
        this.metrics = metrics;
    }

    @Override
    public Single<TransactionResult> execute(Transaction transaction) {
        return Single.defer(
                () -> attempt(new Call(transaction, timers.monotonicNanoseconds(), UUID.randomUUID()), 1, false));
    }

    @Override
    public Single<Optional<Row>> read(String table, String key) {
        return Single.defer(() -> readWithRetries(timers.monotonicNanoseconds(), 1, () -> delegate.read(table, key)));
    }

    @Override
    public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
        return Single.defer(() ->
                readWithRetries(timers.monotonicNanoseconds(), 1, () -> delegate.scan(table, prefix, after, limit)));
    }

    private Single<TransactionResult> attempt(Call call, int attemptNumber, boolean mayHaveTakenEffect) {
        return executeOnce(call.transaction())
                .map(result -> new Attempt(Optional.of(result), Optional.empty()))
                .onErrorReturn(cause -> new Attempt(Optional.empty(), Optional.of(cause)))
                .flatMap(attempt -> {
                    if (attempt.cause().isPresent()) {
                        return handleFailure(
                                call,
                                attemptNumber,
                                mayHaveTakenEffect,
                                attempt.cause().get());
                    }
                    if (mayHaveTakenEffect && !attempt.result().get().committed()) {
                        return resolve(call, attemptNumber, attempt.result());
                    }
                    return Single.just(attempt.result().get());
                });
    }

    private Single<TransactionResult> handleFailure(
            Call call, int attemptNumber, boolean mayHaveTakenEffect, Throwable cause) {
        if (!isTransient(cause)) {
            return Single.error(cause);
        }
        boolean outcomeUnknown = mayHaveTakenEffect || isOutcomeUnknown(cause);
        long elapsedNanoseconds = nanosecondsSince(call.startedAtNanoseconds());
        if (elapsedNanoseconds < policy.callDeadline().toNanos() * RETRY_FRACTION) {
            return backOff(attemptNumber).andThen(Single.defer(() -> attempt(call, attemptNumber + 1, outcomeUnknown)));
        }
        return outcomeUnknown ? resolve(call, attemptNumber, Optional.empty()) : Single.error(cause);
    }

    /** Resolves an unknown outcome by the marker row. The conflict is the result of a retry, if one conflicted. */
    private Single<TransactionResult> resolve(Call call, int attemptNumber, Optional<TransactionResult> conflict) {
        String id = call.transaction().id();
        boolean markerExists = conflict.isPresent() && TransactionMarker.isMarkerConflict(conflict.get(), id);
        Single<Optional<TransactionMarker>> marker = markerExists
                ? readMarker(id)
                : executeOnce(TransactionMarker.cancellation(id, call.cancellationId() + "-" + attemptNumber))
                        .flatMap(result -> result.committed()
                                ? Single.just(Optional.of(TransactionMarker.CANCELLED))
                                : readMarker(id));
        return marker.<Resolution>map(outcome -> new Resolution(outcome, Optional.empty()))
                .onErrorReturn(cause -> new Resolution(Optional.empty(), Optional.of(cause)))
                .flatMap(resolution -> resolution.marker().isPresent()
                        ? toResult(resolution.marker().get(), conflict)
                        : retryResolution(call, attemptNumber, conflict, resolution.cause()));
    }

    private static Single<TransactionResult> toResult(TransactionMarker outcome, Optional<TransactionResult> conflict) {
        if (outcome == TransactionMarker.COMMITTED) {
            return Single.just(TransactionResult.success());
        }
        return conflict.map(Single::just)
                .orElseGet(() -> Single.error(new FireflywalkException(
                        ErrorKind.STORE_UNAVAILABLE, "the transaction was cancelled at its deadline", LOCATION)));
    }

    private Single<TransactionResult> retryResolution(
            Call call, int attemptNumber, Optional<TransactionResult> conflict, Optional<Throwable> cause) {
        boolean permanent = cause.isPresent() && !isTransient(cause.get());
        if (permanent
                || nanosecondsSince(call.startedAtNanoseconds())
                        >= policy.callDeadline().toNanos()) {
            metrics.recordUnresolvedOutcome();
            String reason = cause.map(Throwable::getMessage).orElse("no marker row");
            return Single.error(new FireflywalkException(
                    ErrorKind.STORE_OUTCOME_UNKNOWN, "not resolved within the deadline: " + reason, LOCATION));
        }
        return backOff(attemptNumber).andThen(Single.defer(() -> resolve(call, attemptNumber + 1, conflict)));
    }

    private <T> Single<T> readWithRetries(long startedAtNanoseconds, int attemptNumber, Supplier<Single<T>> read) {
        return Single.defer(() -> {
                    metrics.recordRead();
                    return withAttemptDeadline(read.get(), ErrorKind.STORE_UNAVAILABLE);
                })
                .onErrorResumeNext(cause -> {
                    boolean retriesExhausted = nanosecondsSince(startedAtNanoseconds)
                            >= policy.callDeadline().toNanos() * RETRY_FRACTION;
                    if (retriesExhausted || !isTransient(cause)) {
                        return Single.error(cause);
                    }
                    return backOff(attemptNumber)
                            .andThen(
                                    Single.defer(() -> readWithRetries(startedAtNanoseconds, attemptNumber + 1, read)));
                });
    }

    private Single<Optional<TransactionMarker>> readMarker(String id) {
        return Single.defer(() -> {
            metrics.recordRead();
            return withAttemptDeadline(delegate.read(TransactionMarker.TABLE, id), ErrorKind.STORE_UNAVAILABLE)
                    .map(TransactionMarker::of);
        });
    }

    private Single<TransactionResult> executeOnce(Transaction transaction) {
        return Single.defer(() -> {
            metrics.recordWrite();
            return withAttemptDeadline(delegate.execute(transaction), ErrorKind.STORE_OUTCOME_UNKNOWN);
        });
    }

    private <T> Single<T> withAttemptDeadline(Single<T> attempt, ErrorKind timeoutKind) {
        return attempt.timeout(policy.attemptDeadline().toNanos(), TimeUnit.NANOSECONDS, timers.scheduler())
                .doOnError(cause -> metrics.recordFailedAttempt())
                .onErrorResumeNext(cause -> Single.error(
                        cause instanceof TimeoutException
                                ? new FireflywalkException(
                                        timeoutKind, "no answer within the attempt's deadline", LOCATION, cause)
                                : cause));
    }

    private Completable backOff(int failedAttempts) {
        Duration backoff = policy.backoff(failedAttempts, randomFraction.getAsDouble());
        return timers.after(backoff);
    }

    private long nanosecondsSince(long startedAtNanoseconds) {
        return timers.monotonicNanoseconds() - startedAtNanoseconds;
    }

    private static boolean isTransient(Throwable cause) {
        return cause instanceof FireflywalkException exception
                && (exception.kind() == ErrorKind.STORE_UNAVAILABLE
                        || exception.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN);
    }

    private static boolean isOutcomeUnknown(Throwable cause) {
        return cause instanceof FireflywalkException exception && exception.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN;
    }

    private record Attempt(Optional<TransactionResult> result, Optional<Throwable> cause) {}

    private record Resolution(Optional<TransactionMarker> marker, Optional<Throwable> cause) {}

    private record Call(Transaction transaction, long startedAtNanoseconds, UUID cancellationId) {}
}
