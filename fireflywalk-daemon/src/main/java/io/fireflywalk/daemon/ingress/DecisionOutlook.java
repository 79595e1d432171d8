package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.admission.WaitQueue;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.ingress.DecisionExplainer;
import io.fireflywalk.core.ingress.HostRoute;
import io.fireflywalk.core.ingress.PromptSummary;
import io.fireflywalk.core.ingress.RequestDescription;
import io.fireflywalk.core.ingress.TargetEvaluation;
import io.fireflywalk.core.quota.AccountAllowance;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** What the components of this instance would decide on a request now. Confined to one event loop. */
record DecisionOutlook(IngressContext context, TargetConcurrencyLimits limits, BooleanSupplier rejecting)
        implements DecisionExplainer.Outlook {

    @Override
    public boolean rejectsNewRequests() {
        return rejecting.getAsBoolean();
    }

    @Override
    public Optional<AccountAllowance.Outlook> quota(String account, RequestDescription description) {
        return context.quotas().evaluate(account, description);
    }

    @Override
    public Optional<Duration> quarantine(RequestDescription description) {
        return context.promptQuarantine().evaluate(description.partIdentifiers());
    }

    @Override
    public Optional<WaitQueue.Evaluation> queue(
            HostRoute route, String service, Optional<String> account, RequestDescription description) {
        RequestQueue queue = context.requestQueue();
        return queue.evaluate(service, RequestAdmission.arriving(queue, route, account, description, now()));
    }

    @Override
    public TargetEvaluation placement(String service, PromptSummary prompt) {
        return context.targetChooser()
                .evaluatePrefill(
                        service,
                        context.directory().forService(service),
                        limits.requestsPerTarget(service),
                        prompt,
                        now());
    }

    @Override
    public TargetEvaluation choice(HostRoute route, String service, RequestDescription description) {
        return context.targetChooser()
                .evaluate(
                        route,
                        service,
                        description,
                        context.directory().forService(service),
                        limits.requestsPerTarget(service),
                        now());
    }

    @Override
    public Optional<Duration> timeUntilFirstReturn(String service) {
        return context.directory().timeUntilFirstReturn(service);
    }

    @Override
    public Duration retryAfter(ErrorKind kind, Optional<String> service, boolean refusedByQueue) {
        return service.filter(ignored -> RequestAdmission.lacksPlaces(kind, refusedByQueue))
                .flatMap(context.requestQueue()::evaluateRetryAfter)
                .orElse(CallerExchange.RETRY_AFTER);
    }

    private long now() {
        return context.timers().monotonicNanoseconds();
    }
}
