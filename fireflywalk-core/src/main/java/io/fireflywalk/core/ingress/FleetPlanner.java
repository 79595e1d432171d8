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
 * Plans how many regular and preemptible targets a service has in each availability zone. Ordered targets come too late
 * for a wave of the traffic, so that the plan is sized for waves from the start; preemptible targets carry it where they
 * are to be had, and regular ones are released only when as many preemptible ones are ready. Stateless.
 */
public final class FleetPlanner {
    /** Targets that are planned for each one of the fleet as the operator sized it; waves double the demand. */
    private static final double WAVE_FACTOR = 2;

    /** Part of the runners that read prompts; reading takes about as much of the runners' time as generating. */
    private static final double READER_PART = 0.5;

    /** Part of a zone's targets that regular ones replace while preemptible ones are not to be had. */
    private static final double SUBSTITUTE_PART = 0.75;

    private FleetPlanner() {}

    /** Wanted targets of a service in an availability zone. */
    public record ZonePlan(String availabilityZone, int regular, int preemptible) {}

    /** Targets of a service in an availability zone that take requests now. */
    public record ZoneCount(int regular, int preemptible) {

        private ZoneCount plus(TargetEntry entry) {
            return entry.preemptible()
                    ? new ZoneCount(regular, preemptible + 1)
                    : new ZoneCount(regular + 1, preemptible);
        }
    }

    /** Counts the targets that take requests, by availability zone. */
    public static Map<String, ZoneCount> count(Collection<TargetState> targets) {
        Map<String, ZoneCount> counts = new TreeMap<>();
        for (TargetState target : targets) {
            if (!target.entry().leaving()) {
                ZoneCount present = counts.getOrDefault(target.entry().availabilityZone(), new ZoneCount(0, 0));
                counts.put(target.entry().availabilityZone(), present.plus(target.entry()));
            }
        }
        return counts;
    }

    /**
     * Plans a service.
     *
     * @param designSize targets of the fleet as the operator sized it
     * @param present targets that take requests now
     * @param withoutPreemptible availability zones that have no preemptible targets to give now
     */
    public static List<ZonePlan> plan(
            ScalingProfile scaling, int designSize, Map<String, ZoneCount> present, Set<String> withoutPreemptible) {
        List<String> zones = new ArrayList<>(scaling.priceByZone().keySet());
        zones.sort(Comparator.comparing((String zone) -> scaling.priceByZone().get(zone))
                .thenComparing(Comparator.naturalOrder()));
        int wanted = (int) Math.ceil(designSize * WAVE_FACTOR);
        List<ZonePlan> plans = new ArrayList<>();
        int left = wanted;
        for (int index = 0; index < zones.size(); index++) {
            String zone = zones.get(index);
            int part = (int) Math.ceil((double) left / (zones.size() - index));
            int total = Math.max(scaling.minimumPerZone(), Math.min(scaling.maximumPerZone(), part));
            left -= total;
            ZoneCount now = present.getOrDefault(zone, new ZoneCount(0, 0));
            plans.add(
                    withoutPreemptible.contains(zone)
                            ? substitutePlan(zone, total, now)
                            : zonePlan(scaling, zone, total, now));
        }
        return plans;
    }

    private static ZonePlan zonePlan(ScalingProfile scaling, String zone, int total, ZoneCount now) {
        if (scaling.preemptiblePrice().isEmpty()) {
            return new ZonePlan(zone, total, 0);
        }
        // The bound of the zone holds for both kinds together, so the regular ones leave before the last ones come, as
        // soon as the preemptible ones can take their place.
        boolean replaceable = 2 * now.preemptible() >= total;
        int regular = replaceable ? 0 : Math.min(now.regular(), total - now.preemptible());
        return new ZonePlan(zone, regular, total - regular);
    }

    /** Plans regular targets in place of preemptible ones that were reclaimed and are not to be had. */
    private static ZonePlan substitutePlan(String zone, int total, ZoneCount now) {
        int substitutes = (int) Math.ceil(total * SUBSTITUTE_PART) - now.preemptible();
        int regular = Math.min(total - now.preemptible(), Math.max(now.regular(), substitutes));
        return new ZonePlan(zone, regular, total - regular);
    }

    /**
     * Returns runners of the decode stage that should change to the prefill stage, so that each availability zone has its
     * part of readers. Runners that have just joined or generate least come first.
     */
    public static List<TargetState> newReaders(Collection<TargetState> targets, long now) {
        List<TargetState> changes = new ArrayList<>();
        Map<String, List<TargetState>> byZone = new TreeMap<>();
        for (TargetState target : targets) {
            if (!target.entry().leaving() && target.entry().stage() != TargetEntry.Stage.WHOLE) {
                byZone.computeIfAbsent(target.entry().availabilityZone(), zone -> new ArrayList<>())
                        .add(target);
            }
        }
        for (List<TargetState> zone : byZone.values()) {
            long readers = zone.stream()
                    .filter(target -> target.entry().stage() == TargetEntry.Stage.PREFILL)
                    .count();
            int wanted = (int) Math.floor(zone.size() * READER_PART);
            zone.stream()
                    .filter(target -> target.entry().stage() == TargetEntry.Stage.DECODE)
                    .sorted(Comparator.comparingDouble(target -> target.requests(now)))
                    .limit(Math.max(0, wanted - readers))
                    .forEach(changes::add);
        }
        return changes;
    }
}
