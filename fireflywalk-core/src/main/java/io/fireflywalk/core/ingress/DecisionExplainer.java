package io.fireflywalk.core.ingress;

import io.fireflywalk.core.admission.AdmissionDecision;
import io.fireflywalk.core.admission.QueueDecision;
import io.fireflywalk.core.admission.WaitQueue;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.ingress.DecisionExplanation.Choice;
import io.fireflywalk.core.ingress.DecisionExplanation.Refusal;
import io.fireflywalk.core.ingress.DecisionExplanation.ServiceShare;
import io.fireflywalk.core.ingress.DecisionExplanation.Turn;
import io.fireflywalk.core.quota.AccountAllowance;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Explains where a request that has not been sent would go. Follows the steps of a request in their order and asks the
 * code that decides at each of them; holds no rule of its own. Changes nothing.
 */
public final class DecisionExplainer {
    private final RoutingConfiguration configuration;
    private final Outlook outlook;

    /** What the parts of an instance would decide now. No method changes their state. */
    public interface Outlook {

        /** Tells whether all new requests are rejected because the instance shuts down. */
        boolean rejectsNewRequests();

        /** Returns what the quota of the account would decide; empty if it has none. */
        Optional<AccountAllowance.Outlook> quota(String account, RequestDescription description);

        /** Returns the time after which a request with a quarantined part of the prompt may return; empty if it has none. */
        Optional<Duration> quarantine(RequestDescription description);

        /** Returns what the request queue would decide; empty if requests never wait. */
        Optional<WaitQueue.Evaluation> queue(
                HostRoute route, String service, Optional<String> account, RequestDescription description);

        /** Returns the figures for the prefill of a prompt. */
        TargetEvaluation placement(String service, PromptSummary prompt);

        /** Returns the figures for a whole request. */
        TargetEvaluation choice(HostRoute route, String service, RequestDescription description);

        /** Returns the time until a target wants requests again, if all of them want none now. */
        Optional<Duration> timeUntilFirstReturn(String service);

        /** Returns the time after which a refused caller should return, without its random part. */
        Duration retryAfter(ErrorKind kind, Optional<String> service, boolean refusedByQueue);
    }

    public DecisionExplainer(RoutingConfiguration configuration, Outlook outlook) {
        this.configuration = configuration;
        this.outlook = outlook;
    }

    /**
     * Explains the decision on a request.
     *
     * @param account client account whose key the request would carry; empty if it would carry none
     */
    public DecisionExplanation explain(
            String host, String path, Optional<String> account, RequestDescription description) {
        Optional<HostRoute> found = configuration.route(host, path);
        if (outlook.rejectsNewRequests()) {
            return refusal(found, ErrorKind.DRAINING, "draining");
        }
        if (found.isEmpty()) {
            return refusal(found, ErrorKind.UNKNOWN_ROUTE, "not_found");
        }
        HostRoute route = found.get();
        if (account.isEmpty() && configuration.requiresApiKey(route)) {
            return refusal(found, ErrorKind.MISSING_KEY, "missing_key");
        }
        double total =
                route.services().stream().mapToDouble(WeightedService::weight).sum();
        List<ServiceShare> services = route.services().stream()
                .map(weighted -> new ServiceShare(weighted.service(), weighted.weight() / total))
                .sorted(Comparator.comparingDouble(ServiceShare::probability).reversed())
                .toList();
        return new ServiceExplainer(route, services, account, description).explain();
    }

    private DecisionExplanation refusal(Optional<HostRoute> route, ErrorKind kind, String reason) {
        return new DecisionExplanation(
                configuration.version(),
                route.map(HostRoute::name),
                Optional.empty(),
                List.of(),
                DecisionExplanation.REFUSE,
                reason,
                Optional.of(refusal(kind, outlook.retryAfter(kind, Optional.empty(), false))),
                Optional.empty(),
                Optional.empty());
    }

    private static Refusal refusal(ErrorKind kind, Duration retryAfter) {
        return new Refusal(
                kind.code(),
                kind.httpStatus(),
                kind.statesRetryAfter() ? Optional.of(retryAfter.toMillis()) : Optional.empty());
    }

    /** Explains a request whose route and service are known. */
    private final class ServiceExplainer {
        private final HostRoute route;
        private final List<ServiceShare> services;
        private final String service;
        private final Optional<String> account;
        private final RequestDescription description;

        private ServiceExplainer(
                HostRoute route,
                List<ServiceShare> services,
                Optional<String> account,
                RequestDescription description) {
            this.route = route;
            this.services = services;
            this.service = services.get(0).service();
            this.account = account;
            this.description = description;
        }

        private DecisionExplanation explain() {
            TargetEvaluation evaluation = evaluate();
            Optional<AccountAllowance.Outlook> quota = account.flatMap(name -> outlook.quota(name, description));
            if (quota.isPresent() && quota.get().decision() != AccountAllowance.Outlook.Decision.COVERED) {
                return quota.get().decision() == AccountAllowance.Outlook.Decision.REFUSED
                        ? refused(ErrorKind.QUOTA_EXCEEDED, "quota", quota.get().time(), evaluation)
                        : waiting(
                                "quota_grant",
                                new Turn(
                                        quota.get().position(),
                                        Optional.of(quota.get().time().toMillis())),
                                evaluation);
            }
            Optional<Duration> quarantine = outlook.quarantine(description);
            if (quarantine.isPresent()) {
                return refused(ErrorKind.PROMPT_QUARANTINED, "prompt_quarantined", quarantine.get(), evaluation);
            }
            Optional<WaitQueue.Evaluation> queue = outlook.queue(route, service, account, description);
            if (queue.isPresent()) {
                QueueDecision decision = queue.get().decision();
                AdmissionDecision outcome = decision.outcome();
                String reason = decision.reason().code();
                if (outcome.state() == AdmissionDecision.State.REFUSED) {
                    ErrorKind kind = outcome.refusal().orElseThrow();
                    return refused(kind, reason, outlook.retryAfter(kind, Optional.of(service), true), evaluation);
                }
                if (outcome.state() == AdmissionDecision.State.QUEUED) {
                    Optional<Long> turn = Optional.of(decision.expectedWaitNanoseconds())
                            .filter(nanoseconds -> nanoseconds >= 0)
                            .map(nanoseconds -> Duration.ofNanos(nanoseconds).toMillis());
                    return waiting(reason, new Turn(queue.get().position(), turn), evaluation);
                }
            }
            return sent(queue.map(known -> known.decision().reason().code()).orElse("no_queue"), evaluation);
        }

        private TargetEvaluation evaluate() {
            if (PromptPlacement.appliesTo(route, description)) {
                TargetEvaluation placement = outlook.placement(service, description.summary(route.runnerPriority()));
                if (placement.placement().isPresent()) {
                    return placement;
                }
            }
            return outlook.choice(route, service, description);
        }

        private DecisionExplanation sent(String reason, TargetEvaluation evaluation) {
            double objective = (double) route.latencyObjective().toMillis();
            if (evaluation
                    .placement()
                    .filter(best -> best.waitMissesObjective(objective, 0))
                    .isPresent()) {
                ErrorKind kind = ErrorKind.QUEUE_FULL;
                return refused(kind, "prompt_wait", outlook.retryAfter(kind, Optional.of(service), false), evaluation);
            }
            if (!evaluation.hasEligible()) {
                ErrorKind kind = ErrorKind.NO_TARGET;
                Duration retryAfter = outlook.timeUntilFirstReturn(service)
                        .orElseGet(() -> outlook.retryAfter(kind, Optional.of(service), false));
                return refused(kind, "no_target", retryAfter, evaluation);
            }
            return explanation(DecisionExplanation.SEND, reason, Optional.empty(), Optional.empty(), evaluation);
        }

        private DecisionExplanation waiting(String reason, Turn turn, TargetEvaluation evaluation) {
            return explanation(DecisionExplanation.WAIT, reason, Optional.empty(), Optional.of(turn), evaluation);
        }

        private DecisionExplanation refused(
                ErrorKind kind, String reason, Duration retryAfter, TargetEvaluation evaluation) {
            return explanation(
                    DecisionExplanation.REFUSE,
                    reason,
                    Optional.of(refusal(kind, retryAfter)),
                    Optional.empty(),
                    evaluation);
        }

        private DecisionExplanation explanation(
                String decision,
                String reason,
                Optional<Refusal> refusal,
                Optional<Turn> turn,
                TargetEvaluation evaluation) {
            return new DecisionExplanation(
                    configuration.version(),
                    Optional.of(route.name()),
                    Optional.of(service),
                    services,
                    decision,
                    reason,
                    refusal,
                    turn,
                    Optional.of(Choice.of(evaluation)));
        }
    }
}
