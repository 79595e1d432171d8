package io.fireflywalk.core.ingress;

import io.fireflywalk.core.ingress.TargetEntry.Stage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Chooses the runners that change their stage, so that each availability zone has its fraction of both. Stateless. */
public final class StageBalance {
    private StageBalance() {}

    /** Runner that should change to a stage. */
    public record Change(TargetState target, Stage stage) {}

    /**
     * Returns the runners to change; those with the fewest requests come first. A zone within one runner of its
     * fraction stays as it is, and returns one runner at a time to decode, because a change costs seconds.
     *
     * @param ordered stages of the runners that have been told to change and may not have done so yet, by identifier
     */
    public static List<Change> changes(
            Collection<TargetState> targets, double prefillFraction, Map<String, Stage> ordered, long now) {
        Map<String, List<TargetState>> byZone = new TreeMap<>();
        for (TargetState target : targets) {
            if (!target.entry().leaving() && target.entry().stage() != Stage.WHOLE) {
                byZone.computeIfAbsent(target.entry().availabilityZone(), zone -> new ArrayList<>())
                        .add(target);
            }
        }
        List<Change> changes = new ArrayList<>();
        for (List<TargetState> zone : byZone.values()) {
            double wanted = zone.size() * prefillFraction;
            long prefillRunners = zone.stream()
                    .filter(target -> Stage.PREFILL
                            == ordered.getOrDefault(
                                    target.entry().identifier(), target.entry().stage()))
                    .count();
            boolean tooMany = prefillRunners > Math.ceil(wanted) && zone.size() > 1;
            Stage from = tooMany ? Stage.PREFILL : Stage.DECODE;
            Stage to = tooMany ? Stage.DECODE : Stage.PREFILL;
            zone.stream()
                    .filter(target -> target.entry().stage() == from
                            && !ordered.containsKey(target.entry().identifier()))
                    .sorted(Comparator.comparingDouble(target -> target.estimatedRequests(now)))
                    .limit(tooMany ? 1 : Math.max(0, (long) Math.floor(wanted) - prefillRunners))
                    .forEach(target -> changes.add(new Change(target, to)));
        }
        return changes;
    }
}
