package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.HostRoute;
import io.fireflywalk.core.ingress.PromptPlacement;
import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import io.fireflywalk.core.ingress.PromptSummary;
import io.fireflywalk.core.ingress.RequestCost;
import io.fireflywalk.core.ingress.RequestDescription;
import io.fireflywalk.core.ingress.ServerLoad;
import io.fireflywalk.core.ingress.ServiceLoad;
import io.fireflywalk.core.ingress.ServiceLoads;
import io.fireflywalk.core.ingress.TargetEvaluation;
import io.fireflywalk.core.ingress.TargetPicker;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.core.ingress.WorkBasedPicker;
import io.fireflywalk.core.ingress.WorkBasedPicker.WorkChoice;
import io.fireflywalk.daemon.ingress.TargetProtocol.TargetResponseHead;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Chooses the targets of requests, by expected time for services whose targets are chosen by work and by load for all
 * others, and records what the choice by work depends on. Confined to one event loop.
 */
final class TargetChooser {
    private final TargetPicker byLoad;
    private final WorkBasedPicker byWork;
    private final PromptPlacement promptPlacement;
    private final ServiceLoads loads;
    private final IngressMetrics metrics;
    private final String availabilityZone;

    TargetChooser(
            TargetPicker byLoad,
            WorkBasedPicker byWork,
            PromptPlacement promptPlacement,
            ServiceLoads loads,
            IngressMetrics metrics,
            String availabilityZone) {
        this.byLoad = byLoad;
        this.byWork = byWork;
        this.promptPlacement = promptPlacement;
        this.loads = loads;
        this.metrics = metrics;
        this.availabilityZone = availabilityZone;
    }

    /**
     * Work that a target is expected to have with a request.
     *
     * @param requestsAtStart expected number of requests at the target when the request was sent
     */
    record ExpectedWork(RequestCost cost, double requestsAtStart) {}

    /** Chosen target, its expected work if it was chosen by work, and the log fields of the decision. */
    record Chosen(TargetState target, Optional<ExpectedWork> work, Supplier<String> logFields) {}

    /**
     * Chooses the target of a request.
     *
     * @param cacheZone availability zone of the KV cache of the prompt, if another runner has processed it
     */
    Optional<Chosen> choose(
            HostRoute route,
            String service,
            RequestDescription description,
            RequestAttempts attempts,
            Collection<TargetState> targets,
            int maximumInFlight,
            Optional<String> cacheZone,
            long now) {
        String zone = cacheZone.orElse(availabilityZone);
        Optional<ServiceLoad> load = loads.byWork(service);
        if (load.isEmpty()) {
            return byLoad.leastLoaded(generating(targets), attempts.excludedTargets(), maximumInFlight, zone, now)
                    .map(choice ->
                            new Chosen(choice.target(), Optional.empty(), () -> RequestLog.choiceFields(choice)));
        }
        RequestCost cost = loads.cost(route, service, description, cacheZone.isPresent());
        double spread = loads.spreadMilliseconds(cost);
        Optional<WorkChoice> choice = byWork.choose(
                targets,
                attempts.excludedTargets(),
                maximumInFlight,
                zone,
                load.get(),
                cost,
                attempts.possiblyRun() > 0,
                now);
        metrics.count(choice.isPresent() ? "choices_by_work" : "choices_by_work_without_target");
        return choice.map(chosen -> new Chosen(
                chosen.target(),
                Optional.of(new ExpectedWork(cost, chosen.requests())),
                () -> RequestLog.workChoiceFields(chosen, cost, spread)));
    }

    /** Chooses the runner for the prefill of a prompt. */
    Optional<Placement> choosePrefill(
            String service,
            RequestAttempts attempts,
            Collection<TargetState> targets,
            int maximumInFlight,
            PromptSummary prompt,
            long now) {
        return promptPlacement.choose(
                targets,
                attempts.excludedTargets(),
                maximumInFlight,
                prompt,
                availabilityZone,
                loads.byWork(service),
                now);
    }

    /** Returns the figures for a request that no attempt has been made for, without a choice. */
    TargetEvaluation evaluate(
            HostRoute route,
            String service,
            RequestDescription description,
            Collection<TargetState> targets,
            int maximumInFlight,
            long now) {
        return loads.evaluate(service)
                .map(load -> WorkBasedPicker.evaluate(
                        targets,
                        Set.of(),
                        maximumInFlight,
                        availabilityZone,
                        load,
                        loads.cost(route, service, description, false),
                        now))
                .orElseGet(() ->
                        TargetPicker.evaluate(generating(targets), Set.of(), maximumInFlight, availabilityZone, now));
    }

    /** Returns the figures for the prefill of a prompt that no attempt has been made for, without a choice. */
    TargetEvaluation evaluatePrefill(
            String service, Collection<TargetState> targets, int maximumInFlight, PromptSummary prompt, long now) {
        return promptPlacement.evaluate(
                targets, Set.of(), maximumInFlight, prompt, availabilityZone, loads.evaluate(service), now);
    }

    private static List<TargetState> generating(Collection<TargetState> targets) {
        return targets.stream().filter(TargetState::generates).toList();
    }

    /** Records the start of an attempt. */
    void recordStart(TargetState target, ExpectedWork work) {
        loads.recordStart(target, work.cost());
    }

    /** Records the end of an attempt. */
    void recordEnd(TargetState target, ExpectedWork work) {
        loads.recordEnd(target, work.cost());
    }

    /** Records the time of an attempt that the target has completed. */
    void recordTime(TargetState target, ExpectedWork work, long nanoseconds, long now) {
        loads.recordTime(target, work.cost(), work.requestsAtStart(), nanoseconds / 1e6, now);
    }

    /** Records what the head of a response tells about its target. */
    void recordResponse(TargetState target, TargetResponseHead head, long now) {
        if (!head.notExecuted()) {
            loads.recordOutcome(target, !head.serverError(), now);
        }
        head.load().ifPresent(load -> {
            target.recordReport(load.requests(), now);
            loads.recordReport(target, load, head.notExecuted(), now);
        });
    }

    /** Records a rejection, after its report. */
    void recordRejection(TargetState target, Optional<ServerLoad> load, long now) {
        loads.recordRejection(target, load, now);
    }
}
