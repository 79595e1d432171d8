package io.fireflywalk.core.placement;

import io.fireflywalk.core.configuration.TargetCharge;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Wanted number of targets of a model by zone and charge: the cheapest that carries the work, keeps the non-movable part
 * on regular targets, respects the bound of preemptible targets and has the spare. Immutable.
 *
 * @param regular regular targets by zone
 * @param preemptible preemptible targets by zone
 */
public record TargetPlan(Map<String, Integer> regular, Map<String, Integer> preemptible) {

    public TargetPlan {
        regular = Collections.unmodifiableMap(new LinkedHashMap<>(regular));
        preemptible = Collections.unmodifiableMap(new LinkedHashMap<>(preemptible));
    }

    /** Returns the plan for an amount of work; without zones it is empty. */
    public static TargetPlan of(double work, ModelDemand demand, List<String> zones, PlacementSettings settings) {
        if (zones.isEmpty()) {
            return new TargetPlan(Map.of(), Map.of());
        }
        int count = zones.size();
        int total = Math.max(PreemptibleBound.ceiling(work / settings.utilization()), demand.minimumTargets());
        int required = PreemptibleBound.requiredAfterLoss(work, demand, settings);
        int urgent = PreemptibleBound.ceiling(work * (1 - demand.movableFraction()) / settings.utilization());
        int least = demand.zoneSpare() ? withZoneSpare(urgent, count) : urgent;
        int most = demand.zoneSpare() ? withZoneSpare(total, count) : total;
        int bestRegular = Math.max(least, total);
        int bestPreemptible = 0;
        double bestCharge = Double.POSITIVE_INFINITY;
        for (int regular = least; regular <= Math.max(least, most); regular++) {
            int preemptible = leastPreemptible(regular, total, required, count);
            if (demand.zoneSpare() && count > 1) {
                preemptible = Math.max(preemptible, withZoneSpare(required, count) - regular);
            }
            double charge = regular + preemptible * settings.preemptibleCharge();
            boolean bounded =
                    preemptible == 0 || regular + preemptible - ceilingOfQuotient(preemptible, count) >= required;
            if (bounded && charge < bestCharge) {
                bestRegular = regular;
                bestPreemptible = preemptible;
                bestCharge = charge;
            }
        }
        return spread(bestRegular, bestPreemptible, zones);
    }

    /** Returns the wanted number in a zone at a charge. */
    public int count(String zone, TargetCharge charge) {
        return (charge == TargetCharge.REGULAR ? regular : preemptible).getOrDefault(zone, 0);
    }

    /** Returns the wanted number at a charge. */
    public int count(TargetCharge charge) {
        Map<String, Integer> counts = charge == TargetCharge.REGULAR ? regular : preemptible;
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the wanted number of targets. */
    public int total() {
        return count(TargetCharge.REGULAR) + count(TargetCharge.PREEMPTIBLE);
    }

    private static int withZoneSpare(int needed, int zones) {
        return zones == 1 ? needed : needed + ceilingOfQuotient(needed, zones - 1);
    }

    private static int ceilingOfQuotient(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }

    private static int leastPreemptible(int regular, int total, int required, int zones) {
        int forWork = Math.max(0, total - regular);
        int afterLoss = Math.max(0, required - regular);
        if (afterLoss == 0 || zones == 1) {
            return forWork;
        }
        return Math.max(forWork, afterLoss + ceilingOfQuotient(afterLoss, zones - 1));
    }

    /** Spreads regular targets from the first zone on and preemptible ones from where the regular ones ended. */
    private static TargetPlan spread(int regular, int preemptible, List<String> zones) {
        Map<String, Integer> regularByZone = new LinkedHashMap<>();
        Map<String, Integer> preemptibleByZone = new LinkedHashMap<>();
        int count = zones.size();
        for (int index = 0; index < count; index++) {
            int shifted = Math.floorMod(index - regular, count);
            regularByZone.put(zones.get(index), regular / count + (index < regular % count ? 1 : 0));
            preemptibleByZone.put(zones.get(index), preemptible / count + (shifted < preemptible % count ? 1 : 0));
        }
        return new TargetPlan(regularByZone, preemptibleByZone);
    }
}
