package io.fireflywalk.core.placement;

import io.fireflywalk.core.configuration.TargetCharge;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Orders targets early and releases them late. Stateless and thread-safe.
 *
 * <p>Orders follow the forecast at the time of delivery; releases follow the greatest demand of the window with a
 * margin, and only after the surplus has lasted. An order that is pending for longer than the patience no longer counts,
 * and its zone gets no further order of that pool until it is delivered, so the shortage is ordered elsewhere and at
 * most once per zone. Zones that were lost or are unreachable get no orders for the hold time. Each new target's weights
 * are taken from the weight-store budget.
 */
final class TargetPlanner {
    /** Margin of the demand to which releases go down, so that noise does not order what was just released. */
    private static final double RELEASE_MARGIN = 1.1;
    /** Amounts of work between the window's least and greatest at which a release must leave enough. */
    private static final int RELEASE_STEPS = 8;

    void plan(PlacementRun run, ModelDemand demand, Set<String> orderZones) {
        List<String> zones = run.orderableZones();
        DemandForecast forecast = run.forecast(demand);
        double orderNeed = forecast.expected();
        double keepNeed = Math.max(forecast.peak(), forecast.expected()) * RELEASE_MARGIN;
        TargetPlan kept = kept(forecast.least() / RELEASE_MARGIN, keepNeed, demand, zones, run.settings());
        int keptTotal = TargetPlan.of(keepNeed, demand, zones, run.settings()).total();
        for (TargetCharge charge : TargetCharge.values()) {
            List<String> prompt = zones.stream()
                    .filter(zone -> !late(run, demand.served(), zone, charge))
                    .toList();
            TargetPlan wanted = TargetPlan.of(orderNeed, demand, prompt, run.settings());
            order(run, demand, wanted, charge, orderZones, orderNeed);
        }
        for (TargetCharge charge : TargetCharge.values()) {
            if (targets(run, demand) > keptTotal) {
                release(run, demand, kept, charge, orderZones, keepNeed);
            }
        }
    }

    private static TargetPlan kept(
            double least, double most, ModelDemand demand, List<String> zones, PlacementSettings settings) {
        Map<String, Integer> regular = new LinkedHashMap<>();
        Map<String, Integer> preemptible = new LinkedHashMap<>();
        int regularTotal = 0;
        int preemptibleTotal = 0;
        for (int step = 0; step <= RELEASE_STEPS; step++) {
            double work = least + (most - least) * step / RELEASE_STEPS;
            TargetPlan plan = TargetPlan.of(work, demand, zones, settings);
            if (plan.count(TargetCharge.REGULAR) >= regularTotal) {
                regularTotal = plan.count(TargetCharge.REGULAR);
                regular = plan.regular();
            }
            if (plan.count(TargetCharge.PREEMPTIBLE) >= preemptibleTotal) {
                preemptibleTotal = plan.count(TargetCharge.PREEMPTIBLE);
                preemptible = plan.preemptible();
            }
        }
        return new TargetPlan(regular, preemptible);
    }

    private static int targets(PlacementRun run, ModelDemand demand) {
        int count = 0;
        for (TargetCharge charge : TargetCharge.values()) {
            count += sum(have(run, demand.served(), charge));
        }
        return count;
    }

    private static int sum(Map<String, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static void order(
            PlacementRun run,
            ModelDemand demand,
            TargetPlan wanted,
            TargetCharge charge,
            Set<String> orderZones,
            double need) {
        Map<String, Integer> have = have(run, demand.served(), charge);
        int shortage = wanted.count(charge)
                - have.values().stream().mapToInt(Integer::intValue).sum();
        List<String> zones = wanted.regular().keySet().stream()
                .filter(orderZones::contains)
                .sorted(Comparator.comparingInt(
                                (String zone) -> have.getOrDefault(zone, 0) - wanted.count(zone, charge))
                        .thenComparing(zone -> zone))
                .toList();
        for (String zone : zones) {
            int room = wanted.count(zone, charge) - have.getOrDefault(zone, 0);
            int count = Math.min(room, shortage);
            while (count > 0 && !run.takeFromBudget(count * (demand.weightGigabytes() + demand.adapterGigabytes()))) {
                count--;
            }
            if (count > 0) {
                shortage -= count;
                TargetPool pool = new TargetPool(demand.served(), zone, charge);
                run.decide(new PlacementDecision.OrderTargets(run.nextId("order-" + zone), pool, count, need));
            }
        }
    }

    private static void release(
            PlacementRun run,
            ModelDemand demand,
            TargetPlan kept,
            TargetCharge charge,
            Set<String> orderZones,
            double need) {
        Map<String, Integer> have = have(run, demand.served(), charge);
        int surplus = sum(have) - kept.count(charge);
        List<RunnerView> serving = run.serving(demand.served());
        Optional<RunnerView> candidate = run.changeable(serving).stream()
                .filter(runner -> runner.charge() == charge && orderZones.contains(runner.availabilityZone()))
                .max(Comparator.comparingInt(runner -> have.getOrDefault(runner.availabilityZone(), 0)
                        - kept.count(runner.availabilityZone(), charge)));
        // The zone is left out: the surplus is one of the whole charge, and its largest zone gives.
        TargetPool pool = new TargetPool(demand.served(), "", charge);
        if (surplus <= 0 || kept.total() == 0 || candidate.isEmpty()) {
            run.surplusSince().remove(pool);
            return;
        }
        long since = run.surplusSince().computeIfAbsent(pool, key -> run.now());
        boolean held = run.secondsSince(since) >= run.settings().releaseHoldSeconds();
        if (held && serving.size() - 1 >= demand.minimumTargets() && boundHolds(run, demand, candidate.get(), need)) {
            run.surplusSince().remove(pool);
            TargetPool released =
                    new TargetPool(demand.served(), candidate.get().availabilityZone(), charge);
            run.decide(new PlacementDecision.ReleaseTarget(candidate.get().name(), released, need));
        }
    }

    private static boolean boundHolds(PlacementRun run, ModelDemand demand, RunnerView leaving, double need) {
        int regular = 0;
        Map<String, Integer> preemptible = new LinkedHashMap<>();
        for (RunnerView runner : run.serving(demand.served())) {
            if (runner.name().equals(leaving.name())) {
                continue;
            }
            if (runner.charge() == TargetCharge.REGULAR) {
                regular++;
            } else {
                preemptible.merge(runner.availabilityZone(), 1, Integer::sum);
            }
        }
        return new PreemptibleBound(regular, preemptible, run.settings())
                .holds(PreemptibleBound.requiredAfterLoss(need, demand, run.settings()));
    }

    private static Map<String, Integer> have(PlacementRun run, ServedModel served, TargetCharge charge) {
        Map<String, Integer> have = new LinkedHashMap<>();
        run.serving(served).stream()
                .filter(runner -> runner.charge() == charge)
                .forEach(runner -> have.merge(runner.availabilityZone(), 1, Integer::sum));
        run.incoming(served).stream()
                .filter(runner -> runner.charge() == charge)
                .forEach(runner -> have.merge(runner.availabilityZone(), 1, Integer::sum));
        run.view().pendingTargets().stream()
                .filter(order -> order.served().equals(served) && order.charge() == charge)
                .filter(order -> order.ageSeconds() < run.settings().orderPatienceSeconds())
                .filter(order -> run.assessment().reachable(order.availabilityZone()))
                .forEach(order -> have.merge(order.availabilityZone(), order.count(), Integer::sum));
        return have;
    }

    private static boolean late(PlacementRun run, ServedModel served, String zone, TargetCharge charge) {
        return run.view().pendingTargets().stream()
                .anyMatch(order -> order.served().equals(served)
                        && order.availabilityZone().equals(zone)
                        && order.charge() == charge
                        && order.ageSeconds() >= run.settings().orderPatienceSeconds());
    }
}
