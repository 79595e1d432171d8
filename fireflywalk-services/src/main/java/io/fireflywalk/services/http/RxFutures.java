package io.fireflywalk.services.http;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import java.util.function.Supplier;

/** Adapts Vert.x futures to RxJava types. Stateless. */
public final class RxFutures {
    private RxFutures() {}

    /** Starts the operation on subscription and emits its result. */
    public static <T> Single<T> single(Supplier<Future<T>> operation) {
        return Single.create(emitter -> operation.get().onComplete(emitter::onSuccess, emitter::tryOnError));
    }

    /** Starts the operation on subscription and completes when it succeeds. */
    public static Completable completable(Supplier<? extends Future<?>> operation) {
        return Completable.create(
                emitter -> operation.get().onComplete(ignored -> emitter.onComplete(), emitter::tryOnError));
    }
}
