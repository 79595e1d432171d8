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
 * Requests sent under leases. A unit with a request in flight is not released. After a request that ended without an
 * answer the unit is not released for a quarantine, because the request may still reach its receiver. Confined to one
 * event loop.
 */
final class RequestsInFlight {
    private final TimerService timers;
    private final Duration quarantine;
    private final Map<LeaseUnit, Integer> counts = new HashMap<>();
    private final Map<LeaseUnit, Long> unansweredAt = new HashMap<>();
    private final CompositeDisposable requests = new CompositeDisposable();

    RequestsInFlight(TimerService timers, Duration quarantine) {
        this.timers = timers;
        this.quarantine = quarantine;
    }

    /** Starts a request and counts it until it ends. It runs to its end even if the subscriber is disposed. */
    <T> Single<T> track(LeaseUnit unit, Single<T> request) {
        counts.merge(unit, 1, Integer::sum);
        Single<T> running = request.doOnSuccess(ignored -> ended(unit))
                .doOnError(ignored -> {
                    ended(unit);
                    unansweredAt.put(unit, timers.monotonicNanoseconds());
                })
                .cache();
        Disposable kept = running.subscribe(ignored -> {}, ignored -> {});
        requests.add(kept);
        return running.doFinally(() -> requests.delete(kept));
    }

    boolean mayRelease(LeaseUnit unit) {
        Long unanswered = unansweredAt.get(unit);
        if (unanswered != null && timers.monotonicNanoseconds() - unanswered >= quarantine.toNanos()) {
            unansweredAt.remove(unit);
            unanswered = null;
        }
        return unanswered == null && !counts.containsKey(unit);
    }

    /** Completes when no request is in flight, or after the limit. */
    Completable awaitNone(Duration period, Duration limit) {
        if (counts.isEmpty()) {
            return Completable.complete();
        }
        Flowable<Long> ticks = timers.every(period).takeWhile(tick -> !counts.isEmpty());
        return ticks.takeUntil(timers.after(limit).toFlowable()).ignoreElements();
    }

    private void ended(LeaseUnit unit) {
        counts.computeIfPresent(unit, (key, count) -> count == 1 ? null : count - 1);
    }
}
