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
 * Retries calls to another table service within a deadline and emits definite outcomes only. A transaction is repeated
 * under its own identifier, which the service lets take effect at most once. When a repetition conflicts, or time runs
 * out, a cancellation marker under the same identifier decides: written, the transaction has no effect for good;
 * refused, the marker row states the outcome. {@code STORE_UNAVAILABLE} means no effect, now or later; {@code
 * STORE_OUTCOME_UNKNOWN} is left only if the service stays out past the deadline. Thread-safe.
 */
public final class ResolvingTableService implements TableService {
    private static final String LOCATION = "table service";
    /** Part of the call deadline after which a transaction is cancelled instead of repeated. */
    private static final double REPETITION_FRACTION = 0.5;

    private final TableService delegate;
    private final TimerService timers;
    private final TableRetryPolicy policy;
    private final DoubleSupplier randomFraction;
    private final TableMeters meters;

    public ResolvingTableService(
            TableService delegate,
            TimerService timers,
            TableRetryPolicy policy,
            DoubleSupplier randomFraction,
            TableMeters meters) {
        this.delegate = delegate;
        this.timers = timers;
        this.policy = policy;
        this.randomFraction = randomFraction;
        this.meters = meters;
    }

    @Override
    public Single<TransactionResult> execute(Transaction transaction) {
        return Single.defer(
                () -> attempt(new Call(transaction, timers.monotonicNanoseconds(), UUID.randomUUID()), 1, false));
    }

    @Override
    public Single<Optional<Row>> read(String table, String key) {
        return Single.defer(() -> readWithin(timers.monotonicNanoseconds(), 1, () -> delegate.read(table, key)));
    }

    @Override
    public Single<List<Row>> scan(String table, String prefix, String after, int limit) {
        return Single.defer(
                () -> readWithin(timers.monotonicNanoseconds(), 1, () -> delegate.scan(table, prefix, after, limit)));
    }

    private Single<TransactionResult> attempt(Call call, int number, boolean mayHaveTakenEffect) {
        return write(call.transaction())
                .map(result -> new Attempt(Optional.of(result), Optional.empty()))
                .onErrorReturn(cause -> new Attempt(Optional.empty(), Optional.of(cause)))
                .flatMap(attempt -> {
                    if (attempt.cause().isPresent()) {
                        return afterFailure(
                                call,
                                number,
                                mayHaveTakenEffect,
                                attempt.cause().get());
                    }
                    if (mayHaveTakenEffect && !attempt.result().get().committed()) {
                        return resolve(call, number, attempt.result());
                    }
                    return Single.just(attempt.result().get());
                });
    }

    private Single<TransactionResult> afterFailure(Call call, int number, boolean mayHaveTakenEffect, Throwable cause) {
        if (!isTransient(cause)) {
            return Single.error(cause);
        }
        boolean unknown = mayHaveTakenEffect || isOutcomeUnknown(cause);
        long elapsed = elapsedSince(call.began());
        if (elapsed < policy.callDeadline().toNanos() * REPETITION_FRACTION) {
            return pause(number).andThen(Single.defer(() -> attempt(call, number + 1, unknown)));
        }
        return unknown ? resolve(call, number, Optional.empty()) : Single.error(cause);
    }

    /** Settles the outcome by the marker; the conflict is what a repetition got while the outcome was unknown. */
    private Single<TransactionResult> resolve(Call call, int number, Optional<TransactionResult> conflict) {
        String id = call.transaction().id();
        boolean decided = conflict.isPresent() && TransactionMarker.isIn(conflict.get(), id);
        Single<Optional<TransactionMarker>> marker = decided
                ? readMarker(id)
                : write(TransactionMarker.cancellation(id, call.cancellationId() + "-" + number))
                        .flatMap(result -> result.committed()
                                ? Single.just(Optional.of(TransactionMarker.CANCELLED))
                                : readMarker(id));
        return marker.<Resolution>map(outcome -> new Resolution(outcome, Optional.empty()))
                .onErrorReturn(cause -> new Resolution(Optional.empty(), Optional.of(cause)))
                .flatMap(resolution -> resolution.marker().isPresent()
                        ? emit(resolution.marker().get(), conflict)
                        : resolveAgain(call, number, conflict, resolution.cause()));
    }

    private static Single<TransactionResult> emit(TransactionMarker outcome, Optional<TransactionResult> conflict) {
        if (outcome == TransactionMarker.COMMITTED) {
            return Single.just(TransactionResult.success());
        }
        return conflict.map(Single::just)
                .orElseGet(() -> Single.error(new FireflywalkException(
                        ErrorKind.STORE_UNAVAILABLE, "the transaction was cancelled at its deadline", LOCATION)));
    }

    private Single<TransactionResult> resolveAgain(
            Call call, int number, Optional<TransactionResult> conflict, Optional<Throwable> cause) {
        boolean permanent = cause.isPresent() && !isTransient(cause.get());
        if (permanent || elapsedSince(call.began()) >= policy.callDeadline().toNanos()) {
            meters.outcomeUnresolved();
            String reason = cause.map(Throwable::getMessage).orElse("no marker row");
            return Single.error(new FireflywalkException(
                    ErrorKind.STORE_OUTCOME_UNKNOWN, "not resolved within the deadline: " + reason, LOCATION));
        }
        return pause(number).andThen(Single.defer(() -> resolve(call, number + 1, conflict)));
    }

    private <T> Single<T> readWithin(long began, int number, Supplier<Single<T>> read) {
        return Single.defer(() -> {
                    meters.readSent();
                    return limit(read.get(), ErrorKind.STORE_UNAVAILABLE);
                })
                .onErrorResumeNext(cause -> {
                    boolean late = elapsedSince(began) >= policy.callDeadline().toNanos() * REPETITION_FRACTION;
                    if (late || !isTransient(cause)) {
                        return Single.error(cause);
                    }
                    return pause(number).andThen(Single.defer(() -> readWithin(began, number + 1, read)));
                });
    }

    private Single<Optional<TransactionMarker>> readMarker(String id) {
        return Single.defer(() -> {
            meters.readSent();
            return limit(delegate.read(TransactionMarker.TABLE, id), ErrorKind.STORE_UNAVAILABLE)
                    .map(TransactionMarker::of);
        });
    }

    private Single<TransactionResult> write(Transaction transaction) {
        return Single.defer(() -> {
            meters.writeSent();
            return limit(delegate.execute(transaction), ErrorKind.STORE_OUTCOME_UNKNOWN);
        });
    }

    private <T> Single<T> limit(Single<T> attempt, ErrorKind kindOnTimeout) {
        return attempt.timeout(policy.attemptDeadline().toNanos(), TimeUnit.NANOSECONDS, timers.scheduler())
                .doOnError(cause -> meters.attemptFailed())
                .onErrorResumeNext(cause -> Single.error(
                        cause instanceof TimeoutException
                                ? new FireflywalkException(
                                        kindOnTimeout, "no answer within the attempt's deadline", LOCATION, cause)
                                : cause));
    }

    private Completable pause(int attempts) {
        Duration backoff = policy.backoff(attempts, randomFraction.getAsDouble());
        return timers.after(backoff);
    }

    private long elapsedSince(long began) {
        return timers.monotonicNanoseconds() - began;
    }

    private static boolean isTransient(Throwable cause) {
        return cause instanceof FireflywalkException known
                && (known.kind() == ErrorKind.STORE_UNAVAILABLE || known.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN);
    }

    private static boolean isOutcomeUnknown(Throwable cause) {
        return cause instanceof FireflywalkException known && known.kind() == ErrorKind.STORE_OUTCOME_UNKNOWN;
    }

    private record Attempt(Optional<TransactionResult> result, Optional<Throwable> cause) {}

    private record Resolution(Optional<TransactionMarker> marker, Optional<Throwable> cause) {}

    private record Call(Transaction transaction, long began, UUID cancellationId) {}
}
