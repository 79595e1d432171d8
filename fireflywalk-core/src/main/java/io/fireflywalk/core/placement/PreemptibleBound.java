package io.fireflywalk.core.placement;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bound of preemptible targets and of the work on them: after the loss of any one zone of them, the remaining targets
 * carry all work whose deadline cannot wait for replacements, at the utilization after a loss. Immutable.
 */
public final class PreemptibleBound {
    private final int regular;
    private final Map<String, Integer> preemptible;
    private final PlacementSettings settings;

    public PreemptibleBound(int regular, Map<String, Integer> preemptibleByZone, PlacementSettings settings) {
        this.regular = regular;
        this.preemptible = Collections.unmodifiableMap(new LinkedHashMap<>(preemptibleByZone));
        this.settings = settings;
    }

    /** Returns the work that has to be carried right after a loss. */
    public static double urgentWork(double totalWork, ModelDemand demand) {
        return totalWork * (1 - demand.movableFraction() * demand.deferrableFraction());
    }

    /** Returns the targets that must remain after a loss. */
    public static int requiredAfterLoss(double totalWork, ModelDemand demand, PlacementSettings settings) {
        int forWork = ceiling(urgentWork(totalWork, demand) / settings.lossUtilization());
        return Math.max(forWork, demand.minimumTargets());
    }

    /** Tells whether the loss of any zone of preemptible targets leaves the required number. */
    public boolean holds(int required) {
        int largest =
                preemptible.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        return largest == 0 || total() - largest >= required;
    }

    /** Returns how much work may run on the preemptible targets of a zone, in runners. */
    public double allowedWork(String zone, double totalWork, ModelDemand demand) {
        int count = preemptible.getOrDefault(zone, 0);
        double remaining = (total() - count) * settings.lossUtilization();
        double elsewhere = urgentWork(totalWork, demand) - count * settings.utilization();
        double absorbable = Math.max(0, remaining - Math.max(0, elsewhere));
        double movable = totalWork * demand.movableFraction();
        return Math.min(Math.min(count * settings.utilization(), absorbable), movable);
    }

    static int ceiling(double value) {
        // Keeps sums of fractions such as 0.7 * 10 / 0.7 from rounding up to the next target.
        return (int) Math.ceil(value - 1e-9);
    }

    private int total() {
        return regular
                + preemptible.values().stream().mapToInt(Integer::intValue).sum();
    }
}
