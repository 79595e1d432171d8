package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.lease.LeaseUnit;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Requests in flight under leases. The lease of a unit must not be released while one of its requests is in flight, nor
 * for the release delay after a request that failed, because such a request may still reach its receiver. Confined to
 * one event loop.
 */
final class InFlightRequests {
    private final TimerService timers;
    private final Duration releaseDelay;
    private final Map<LeaseUnit, Integer> countByUnit = new HashMap<>();
    private final Map<LeaseUnit, Long> lastFailureAt = new HashMap<>();
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    InFlightRequests(TimerService timers, Duration releaseDelay) {
        this.timers = timers;
        this.releaseDelay = releaseDelay;
    }

    /** Starts a request and counts it until it ends. Disposing the result does not cancel the request. */
    <T> Single<T> track(LeaseUnit unit, Single<T> request) {
        countByUnit.merge(unit, 1, Integer::sum);
        Single<T> tracked = request.doOnSuccess(ignored -> requestEnded(unit))
                .doOnError(ignored -> {
                    requestEnded(unit);
                    lastFailureAt.put(unit, timers.monotonicNanoseconds());
                })
                .cache();
        Disposable subscription = tracked.subscribe(ignored -> {}, ignored -> {});
        subscriptions.add(subscription);
        return tracked.doFinally(() -> subscriptions.delete(subscription));
    }

    boolean mayRelease(LeaseUnit unit) {
        Long failedAt = lastFailureAt.get(unit);
        if (failedAt != null && timers.monotonicNanoseconds() - failedAt >= releaseDelay.toNanos()) {
            lastFailureAt.remove(unit);
            failedAt = null;
        }
        return failedAt == null && !countByUnit.containsKey(unit);
    }

    /** Completes when no request is in flight, or after the timeout. */
    Completable awaitIdle(Duration pollPeriod, Duration timeout) {
        if (countByUnit.isEmpty()) {
            return Completable.complete();
        }
        Flowable<Long> ticks = timers.every(pollPeriod).takeWhile(tick -> !countByUnit.isEmpty());
        return ticks.takeUntil(timers.after(timeout).toFlowable()).ignoreElements();
    }

    private void requestEnded(LeaseUnit unit) {
        countByUnit.computeIfPresent(unit, (key, count) -> count == 1 ? null : count - 1);
    }
}
