package io.fireflywalk.daemon.routing;

import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.routing.CandidateEstimate;
import io.fireflywalk.core.routing.LoadView;
import io.fireflywalk.core.routing.PrefixCacheEstimate;
import io.fireflywalk.core.routing.RequestFeatures;
import io.fireflywalk.core.routing.RoutingDecision;
import io.fireflywalk.services.time.TimerService;

/** Reports the course of one attempt at a runner to the load and prefix cache estimates. Confined to one event loop. */
public final class AttemptLoadTracker {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final Target target;
    private final RequestFeatures request;
    private final LoadView view;
    private final PrefixCacheEstimate cacheEstimate;
    private final TimerService timers;
    private final double expectedFirstTokenSeconds;
    private final long uncachedTokens;
    private final long sentAtNanoseconds;
    private boolean responseStarted;
    private boolean hasEnded;

    AttemptLoadTracker(
            RoutingDecision decision,
            RequestFeatures request,
            LoadView view,
            PrefixCacheEstimate cacheEstimate,
            TimerService timers) {
        CandidateEstimate estimate = decision.estimates().get(0);
        this.target = decision.chosen();
        this.request = request;
        this.view = view;
        this.cacheEstimate = cacheEstimate;
        this.timers = timers;
        this.expectedFirstTokenSeconds = estimate.firstTokenSeconds();
        this.uncachedTokens = Math.max(1, request.promptTokens() - Math.round(estimate.cachedTokens()));
        this.sentAtNanoseconds = timers.monotonicNanoseconds();
        view.recordSent(target.name(), uncachedTokens, sentAtNanoseconds);
        cacheEstimate.recordSent(request.prefix(), target.name(), view, sentAtNanoseconds);
    }

    public Target target() {
        return target;
    }

    /** Records that bytes of the response have arrived. */
    public void progressed() {
        long now = timers.monotonicNanoseconds();
        if (responseStarted) {
            view.runner(target.name()).recordProgress(now);
        } else if (!hasEnded) {
            responseStarted = true;
            double firstTokenSeconds = (now - sentAtNanoseconds) / NANOSECONDS_PER_SECOND;
            view.runner(target.name())
                    .recordFirstToken(uncachedTokens, expectedFirstTokenSeconds, firstTokenSeconds, now);
        }
    }

    /** Records the number of cached prompt tokens that the engine reported in its response. */
    public void cached(long tokens) {
        cacheEstimate.recordCacheHit(request.prefix(), target.name(), tokens, view, timers.monotonicNanoseconds());
    }

    /** Records the end of the attempt, without counting a failure of the runner. */
    public void ended() {
        if (hasEnded) {
            return;
        }
        hasEnded = true;
        if (responseStarted) {
            view.runner(target.name()).recordEnd();
        } else {
            view.runner(target.name()).recordAbandoned(uncachedTokens);
        }
    }

    /** Records that the attempt failed because of the runner. */
    public void failed() {
        if (!hasEnded) {
            ended();
            view.runner(target.name()).recordFailure(timers.monotonicNanoseconds());
        }
    }
}
