package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.ArrivedWork;
import io.fireflywalk.core.ingress.FleetDemand;
import io.fireflywalk.core.ingress.FleetDemand.Demand;
import io.fireflywalk.core.ingress.FleetSize;
import io.fireflywalk.core.ingress.FleetSize.Basis;
import io.fireflywalk.core.ingress.FleetSize.Decision;
import io.fireflywalk.core.ingress.FleetSize.Facts;
import io.fireflywalk.core.ingress.ServiceProfile;
import io.fireflywalk.core.ingress.ServiceProfile.EngineProfile;
import io.fireflywalk.core.ingress.ServiceProfile.ScalingProfile;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.services.time.TimerService;
import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;

/**
 * Decides the sizes of the fleets that follow their demand, while this instance holds the lease, and logs each change
 * with the figures that decided it. A new lease starts without measurements. Confined to one event loop.
 */
final class DemandPlanner {
    private static final Logger LOG = Logger.getLogger(DemandPlanner.class);

    private final ArrivedWorkExchange arrivedWork;
    private final IngressMetrics metrics;
    private final TimerService timers;
    private final Map<String, ServicePlan> plans = new HashMap<>();

    /** State of a service under a fencing token. */
    private record ServicePlan(long token, FleetSize size, FleetDemand demand, Optional<Decision> logged) {}

    DemandPlanner(ArrivedWorkExchange arrivedWork, IngressMetrics metrics, TimerService timers) {
        this.arrivedWork = arrivedWork;
        this.metrics = metrics;
        this.timers = timers;
    }

    /** Tells whether the size of a service's fleet follows its demand. */
    boolean followsDemand(ServiceProfile service) {
        return arrivedWork.followsDemand(service);
    }

    /** Returns the number of planned targets of all services whose size follows their demand. */
    int plannedTargets() {
        return plans.values().stream()
                .flatMap(plan -> plan.logged().stream())
                .mapToInt(Decision::targets)
                .sum();
    }

    /** Forgets all plans, because this instance does not hold the lease. */
    void clear() {
        plans.clear();
    }

    /** Decides the size of a service's fleet for the next second. */
    Decision decide(
            ServiceProfile service, int baselineTargets, int serving, Collection<TargetState> targets, long token) {
        long now = timers.monotonicNanoseconds();
        ScalingProfile scaling = service.scaling().orElseThrow();
        boolean preemptible = scaling.preemptiblePrice().isPresent();
        int prefillTargets = count(targets, true);
        int decodeTargets = count(targets, false);
        boolean staged = targets.stream().anyMatch(target -> target.entry().stage() != Stage.WHOLE);
        Facts facts = new Facts(
                preemptible,
                scaling.priceByZone().size(),
                service.engine().map(EngineProfile::slots).orElse(1),
                staged,
                prefillTargets,
                decodeTargets);
        ServicePlan plan = plans.get(service.name());
        if (plan == null || plan.token() != token) {
            plan = new ServicePlan(
                    token,
                    new FleetSize(baselineTargets, facts, now),
                    arrivedWork.newDemand(service.name()),
                    Optional.empty());
        }
        Optional<ArrivedWork> sample = arrivedWork.sample(plan.demand());
        Decision decision = plan.size().decide(sample, plan.demand().demand(), facts, now);
        if (decision.basis() == Basis.TOTALS_MISSING) {
            metrics.count("plans_without_totals");
        }
        if (plan.logged().filter(logged -> samePlan(logged, decision)).isEmpty()) {
            log(service.name(), baselineTargets, serving, decision, facts, token);
        }
        plans.put(service.name(), new ServicePlan(token, plan.size(), plan.demand(), Optional.of(decision)));
        return decision;
    }

    private static int count(Collection<TargetState> targets, boolean prefill) {
        return (int) targets.stream()
                .filter(target -> !target.entry().leaving() && (target.entry().stage() == Stage.PREFILL) == prefill)
                .count();
    }

    private static boolean samePlan(Decision first, Decision second) {
        return first.basis() == second.basis()
                && first.targets() == second.targets()
                && first.required() == second.required()
                && first.prefillFraction() == second.prefillFraction();
    }

    private static void log(
            String service, int baselineTargets, int serving, Decision decision, Facts facts, long token) {
        String measured = decision.demand().map(DemandPlanner::demandFields).orElse("work=unknown");
        LOG.infof(
                "event=fleet_planned service=%s token=%d basis=%s targets=%d required=%d baseline=%d serving=%d"
                        + " prefill_fraction=%.2f prefill_needed=%.1f decode_needed=%.1f prefill_present=%d"
                        + " decode_present=%d %s",
                service,
                token,
                decision.basis().name().toLowerCase(Locale.ROOT),
                decision.targets(),
                decision.required(),
                baselineTargets,
                serving,
                decision.prefillFraction(),
                decision.prefillNeeded(),
                decision.decodeNeeded(),
                facts.prefillTargets(),
                facts.decodeTargets(),
                measured);
    }

    /** Describes the demand: the work of a peak second, and per request its mean work and objective. */
    private static String demandFields(Demand demand) {
        return String.format(
                Locale.ROOT,
                "prefill_work_ms=%.0f prefill_ms_per_request=%.1f prefill_objective_ms=%.0f decode_work_ms=%.0f"
                        + " decode_ms_per_request=%.1f decode_objective_ms=%.0f prefill_load=%.2f decode_load=%.2f",
                demand.prefill().milliseconds(),
                perRequest(demand.prefill().milliseconds(), demand.prefill()),
                perRequest(demand.prefill().objectiveMilliseconds(), demand.prefill()),
                demand.decode().milliseconds(),
                perRequest(demand.decode().milliseconds(), demand.decode()),
                perRequest(demand.decode().objectiveMilliseconds(), demand.decode()),
                demand.prefillLoad(),
                demand.decodeLoad());
    }

    private static double perRequest(double sum, ArrivedWork.Kind work) {
        return work.requests() > 0 ? sum / work.requests() : 0;
    }
}
