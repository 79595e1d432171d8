package io.fireflywalk.core.ingress;

import io.fireflywalk.core.ingress.ServiceProfile.ScalingProfile;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Plans how many regular and preemptible targets a service has in each availability zone. Targets that are ordered
 * during a traffic surge start too late for it, so the plan always includes capacity for a surge. It uses preemptible
 * targets where they are available, and releases regular ones as preemptible ones become ready. Stateless.
 */
public final class FleetPlanner {
    /** Planned targets per baseline target; a traffic surge doubles the demand. */
    private static final double SURGE_FACTOR = 2;

    /**
     * Planned targets per baseline target if preemptible ones are offered. They are cheap enough to also cover the loss
     * of a zone's preemptible targets during a surge.
     */
    private static final double PREEMPTIBLE_SURGE_FACTOR = 3;

    /** Fraction of the runners in the prefill stage; prefill and decode take about the same share of runner time. */
    private static final double PREFILL_FRACTION = 0.5;

    /** Fraction of a zone's targets that may be missing while preemptible targets start to replace regular ones. */
    private static final double REPLACEMENT_FRACTION = 0.34;

    private static final ZoneCount NO_TARGETS = new ZoneCount(0, 0);

    private FleetPlanner() {}

    /** Planned targets of a service in an availability zone. */
    public record ZonePlan(String availabilityZone, int regular, int preemptible) {}

    /** Targets of a service in an availability zone that currently accept requests. */
    public record ZoneCount(int regular, int preemptible) {

        private int total() {
            return regular + preemptible;
        }

        private ZoneCount plus(TargetEntry entry) {
            return entry.preemptible()
                    ? new ZoneCount(regular, preemptible + 1)
                    : new ZoneCount(regular + 1, preemptible);
        }
    }

    /** Counts the targets that accept requests, by availability zone. */
    public static Map<String, ZoneCount> countByZone(Collection<TargetState> targets) {
        Map<String, ZoneCount> counts = new TreeMap<>();
        for (TargetState target : targets) {
            if (!target.entry().leaving()) {
                ZoneCount current = counts.getOrDefault(target.entry().availabilityZone(), new ZoneCount(0, 0));
                counts.put(target.entry().availabilityZone(), current.plus(target.entry()));
            }
        }
        return counts;
    }

    /**
     * Plans the targets of a service.
     *
     * @param baselineTargets number of targets in the operator's fleet size
     * @param current targets that accept requests, and regular ones that have been ordered
     * @param zonesWithoutPreemptible availability zones that currently have no preemptible targets available
     */
    public static List<ZonePlan> plan(
            ScalingProfile scaling,
            int baselineTargets,
            Map<String, ZoneCount> current,
            Set<String> zonesWithoutPreemptible) {
        List<String> zones = new ArrayList<>(scaling.priceByZone().keySet());
        zones.sort(Comparator.comparing((String zone) -> scaling.priceByZone().get(zone))
                .thenComparing(Comparator.naturalOrder()));
        Set<String> substituteZones = scaling.preemptiblePrice().isPresent() ? zonesWithoutPreemptible : Set.of();
        double factor = scaling.preemptiblePrice().isPresent() ? PREEMPTIBLE_SURGE_FACTOR : SURGE_FACTOR;
        int remaining = (int) Math.ceil(baselineTargets * factor);
        int currentTotal = current.values().stream().mapToInt(ZoneCount::total).sum();
        int substituteZonesRemaining = substituteZones.size();
        int shortfall = (int) Math.ceil(baselineTargets * SURGE_FACTOR) - currentTotal;
        List<ZonePlan> plans = new ArrayList<>();
        for (int index = 0; index < zones.size(); index++) {
            String zone = zones.get(index);
            int total = clampToZoneLimits(scaling, (int) Math.ceil((double) remaining / (zones.size() - index)));
            remaining -= total;
            ZoneCount zoneCount = current.getOrDefault(zone, NO_TARGETS);
            if (substituteZones.contains(zone)) {
                int substitutes = Math.max(0, (int) Math.ceil((double) shortfall / substituteZonesRemaining));
                shortfall -= substitutes;
                substituteZonesRemaining--;
                plans.add(substitutePlan(scaling, zone, total, substitutes, zoneCount));
            } else {
                plans.add(zonePlan(scaling, zone, total, zoneCount));
            }
        }
        return plans;
    }

    private static int clampToZoneLimits(ScalingProfile scaling, int targets) {
        return Math.max(scaling.minimumPerZone(), Math.min(scaling.maximumPerZone(), targets));
    }

    private static ZonePlan zonePlan(ScalingProfile scaling, String zone, int total, ZoneCount zoneCount) {
        if (scaling.preemptiblePrice().isEmpty()) {
            return new ZonePlan(zone, total, 0);
        }
        // The zone's maximum covers both kinds, so regular targets are replaced in steps.
        int replacementStep = Math.max(1, (int) (total * REPLACEMENT_FRACTION));
        int regular = Math.min(zoneCount.regular(), Math.max(0, total - zoneCount.preemptible() - replacementStep));
        return withPreemptible(scaling, zone, total, regular);
    }

    /**
     * Plans a zone without available preemptible targets; regular ones replace them if the whole fleet is too small.
     */
    private static ZonePlan substitutePlan(
            ScalingProfile scaling, String zone, int total, int substitutes, ZoneCount zoneCount) {
        int regular = Math.min(total - zoneCount.preemptible(), zoneCount.regular() + substitutes);
        return withPreemptible(scaling, zone, total, Math.max(0, regular));
    }

    /**
     * Completes a plan with preemptible targets: as many as fit into the zone beside the regular ones, at least one.
     */
    private static ZonePlan withPreemptible(ScalingProfile scaling, String zone, int total, int regular) {
        int regularCount = Math.min(regular, scaling.maximumPerZone() - 1);
        return new ZonePlan(zone, regularCount, Math.min(total, scaling.maximumPerZone() - regularCount));
    }

    /**
     * Returns the decode runners that should switch to the prefill stage, so that each availability zone has its
     * fraction of prefill runners. Runners with the fewest requests come first, which includes those that have just
     * joined.
     */
    public static List<TargetState> runnersToSwitchToPrefill(Collection<TargetState> targets, long now) {
        List<TargetState> runnersToSwitch = new ArrayList<>();
        Map<String, List<TargetState>> byZone = new TreeMap<>();
        for (TargetState target : targets) {
            if (!target.entry().leaving() && target.entry().stage() != TargetEntry.Stage.WHOLE) {
                byZone.computeIfAbsent(target.entry().availabilityZone(), zone -> new ArrayList<>())
                        .add(target);
            }
        }
        for (List<TargetState> zone : byZone.values()) {
            long prefillRunners = zone.stream()
                    .filter(target -> target.entry().stage() == TargetEntry.Stage.PREFILL)
                    .count();
            int wantedPrefillRunners = (int) Math.floor(zone.size() * PREFILL_FRACTION);
            zone.stream()
                    .filter(target -> target.entry().stage() == TargetEntry.Stage.DECODE)
                    .sorted(Comparator.comparingDouble(target -> target.estimatedRequests(now)))
                    .limit(Math.max(0, wantedPrefillRunners - prefillRunners))
                    .forEach(runnersToSwitch::add);
        }
        return runnersToSwitch;
    }
}
