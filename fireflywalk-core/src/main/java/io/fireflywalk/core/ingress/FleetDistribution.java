package io.fireflywalk.core.ingress;

import io.fireflywalk.core.ingress.FleetPlanner.ZoneCount;
import io.fireflywalk.core.ingress.FleetPlanner.ZonePlan;
import io.fireflywalk.core.ingress.ServiceProfile.ScalingProfile;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Distributes a planned number of targets over the availability zones. Where a zone has no preemptible targets
 * available, the other zones get more of them, and regular ones make up only for what the load needs beyond that.
 * Targets are taken away only as far as enough others accept requests already. Stateless.
 */
public final class FleetDistribution {
    /** Fraction of a full zone's targets that may be missing while preemptible targets replace regular ones. */
    private static final double REPLACEMENT_FRACTION = 0.34;

    private static final ZoneCount NO_TARGETS = new ZoneCount(0, 0);

    private FleetDistribution() {}

    /**
     * Plans the targets of a service.
     *
     * @param targets planned targets, which include the loss of a zone's preemptible ones
     * @param required targets that the load needs
     * @param minimumServing targets in service below which no regular one is taken away
     * @param current targets that accept requests, and regular ones that have been ordered
     * @param serving number of targets that accept requests
     * @param zonesWithoutPreemptible availability zones that currently have no preemptible targets available
     */
    public static List<ZonePlan> plan(
            ScalingProfile scaling,
            int targets,
            int required,
            int minimumServing,
            Map<String, ZoneCount> current,
            int serving,
            Set<String> zonesWithoutPreemptible) {
        List<String> zones = new ArrayList<>(scaling.priceByZone().keySet());
        zones.sort(Comparator.comparing((String zone) -> scaling.priceByZone().get(zone))
                .thenComparing(Comparator.naturalOrder()));
        Map<String, Integer> shares = evenShares(scaling, zones, targets);
        if (scaling.preemptiblePrice().isEmpty()) {
            return zones.stream()
                    .map(zone -> new ZonePlan(zone, shares.get(zone), 0))
                    .toList();
        }
        Map<String, Integer> preemptible = preemptibleShares(scaling, zones, shares, current, zonesWithoutPreemptible);
        Map<String, Integer> regular = regularTargets(
                scaling, zones, preemptible, required, serving - minimumServing, current, zonesWithoutPreemptible);
        int removable = serving - targets;
        List<ZonePlan> plans = new ArrayList<>();
        // The most expensive zone is reduced first.
        for (int index = zones.size() - 1; index >= 0; index--) {
            String zone = zones.get(index);
            int present = current.getOrDefault(zone, NO_TARGETS).preemptible();
            int removed = Math.max(0, Math.min(present - preemptible.get(zone), removable));
            removable -= removed;
            int planned = Math.max(preemptible.get(zone), present - removed);
            int room = Math.max(1, scaling.maximumPerZone() - regular.get(zone));
            plans.add(new ZonePlan(zone, regular.get(zone), Math.min(planned, room)));
        }
        Collections.reverse(plans);
        return plans;
    }

    private static Map<String, Integer> evenShares(ScalingProfile scaling, List<String> zones, int targets) {
        Map<String, Integer> shares = new HashMap<>();
        int remaining = targets;
        for (int index = 0; index < zones.size(); index++) {
            int even = (int) Math.ceil((double) remaining / (zones.size() - index));
            int share = Math.max(scaling.minimumPerZone(), Math.min(scaling.maximumPerZone(), even));
            shares.put(zones.get(index), share);
            remaining -= share;
        }
        return shares;
    }

    /** Moves what zones without available preemptible targets lack to the other zones. */
    private static Map<String, Integer> preemptibleShares(
            ScalingProfile scaling,
            List<String> zones,
            Map<String, Integer> shares,
            Map<String, ZoneCount> current,
            Set<String> zonesWithoutPreemptible) {
        Map<String, Integer> preemptible = new HashMap<>(shares);
        int missing = 0;
        int openZones = 0;
        for (String zone : zones) {
            if (zonesWithoutPreemptible.contains(zone)) {
                missing += Math.max(
                        0,
                        shares.get(zone)
                                - current.getOrDefault(zone, NO_TARGETS).preemptible());
            } else {
                openZones++;
            }
        }
        for (String zone : zones) {
            if (!zonesWithoutPreemptible.contains(zone)) {
                int even = (int) Math.ceil((double) missing / openZones);
                int added = Math.max(0, Math.min(even, scaling.maximumPerZone() - shares.get(zone)));
                preemptible.put(zone, shares.get(zone) + added);
                missing -= added;
                openZones--;
            }
        }
        return preemptible;
    }

    private static Map<String, Integer> regularTargets(
            ScalingProfile scaling,
            List<String> zones,
            Map<String, Integer> preemptible,
            int required,
            int removableTargets,
            Map<String, ZoneCount> current,
            Set<String> zonesWithoutPreemptible) {
        int expected = 0;
        int closedZones = 0;
        for (String zone : zones) {
            boolean closed = zonesWithoutPreemptible.contains(zone);
            closedZones += closed ? 1 : 0;
            expected += closed ? current.getOrDefault(zone, NO_TARGETS).preemptible() : preemptible.get(zone);
        }
        int substitutes = Math.max(0, required - expected);
        int removable = Math.max(0, removableTargets);
        Map<String, Integer> regular = new HashMap<>();
        for (String zone : zones) {
            ZoneCount zoneCount = current.getOrDefault(zone, NO_TARGETS);
            int wanted = 0;
            if (zonesWithoutPreemptible.contains(zone)) {
                int share = (int) Math.ceil((double) substitutes / closedZones);
                wanted = Math.max(0, Math.min(share, scaling.maximumPerZone() - zoneCount.preemptible() - 1));
                substitutes -= wanted;
                closedZones--;
            }
            int removed = Math.max(0, Math.min(zoneCount.regular() - wanted, removable));
            removable -= removed;
            int kept = Math.max(wanted, zoneCount.regular() - removed);
            boolean full = kept + preemptible.get(zone) > scaling.maximumPerZone();
            if (full && !zonesWithoutPreemptible.contains(zone)) {
                // The zone's maximum covers both kinds, so regular targets make room in steps.
                int step = Math.max(1, (int) (REPLACEMENT_FRACTION * preemptible.get(zone)));
                kept = Math.min(kept, Math.max(0, preemptible.get(zone) - zoneCount.preemptible() - step));
            }
            regular.put(zone, Math.min(kept, scaling.maximumPerZone() - 1));
        }
        return regular;
    }
}
