package io.fireflywalk.daemon.routing;

import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.routing.CandidateEstimate;
import io.fireflywalk.core.routing.LoadView;
import io.fireflywalk.core.routing.PrefixEstimate;
import io.fireflywalk.core.routing.RequestFeatures;
import io.fireflywalk.core.routing.RoutingDecision;
import io.fireflywalk.services.time.TimerService;

/** One attempt at a runner; tells the view of its progress. Confined to one event loop. */
public final class RunnerAttempt {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final Target target;
    private final RequestFeatures request;
    private final LoadView view;
    private final PrefixEstimate prefixes;
    private final TimerService timers;
    private final double expectedSeconds;
    private final long uncachedTokens;
    private final long sentAt;
    private boolean answered;
    private boolean over;

    RunnerAttempt(
            RoutingDecision decision,
            RequestFeatures request,
            LoadView view,
            PrefixEstimate prefixes,
            TimerService timers) {
        CandidateEstimate estimate = decision.estimates().get(0);
        this.target = decision.chosen();
        this.request = request;
        this.view = view;
        this.prefixes = prefixes;
        this.timers = timers;
        this.expectedSeconds = estimate.firstTokenSeconds();
        this.uncachedTokens = Math.max(1, request.promptTokens() - Math.round(estimate.cachedTokens()));
        this.sentAt = timers.monotonicNanoseconds();
        view.sent(target.name(), uncachedTokens, sentAt);
        prefixes.sent(request.prefix(), target.name(), view, sentAt);
    }

    /** Returns the runner. */
    public Target target() {
        return target;
    }

    /** Notes that bytes of the answer arrived. */
    public void progressed() {
        long now = timers.monotonicNanoseconds();
        if (answered) {
            view.runner(target.name()).progressed(now);
        } else if (!over) {
            answered = true;
            double seconds = (now - sentAt) / NANOSECONDS_PER_SECOND;
            view.runner(target.name()).firstToken(uncachedTokens, expectedSeconds, seconds, now);
        }
    }

    /** Notes the cached prompt tokens that the engine reported in its answer. */
    public void cached(long tokens) {
        prefixes.reported(request.prefix(), target.name(), tokens, view, timers.monotonicNanoseconds());
    }

    /** Notes the end of the attempt without blame for the runner. */
    public void ended() {
        if (over) {
            return;
        }
        over = true;
        if (answered) {
            view.runner(target.name()).ended();
        } else {
            view.runner(target.name()).abandoned(uncachedTokens);
        }
    }

    /** Notes that the attempt failed because of the runner. */
    public void failed() {
        if (!over) {
            ended();
            view.runner(target.name()).failed(timers.monotonicNanoseconds());
        }
    }
}
