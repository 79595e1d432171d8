package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Limits an instance to a subset of a service's runners, so that it can poll all of them often. Each instance has a
 * different subset, selected by hash, and few runners enter or leave it when the fleet changes. Stateless.
 */
public final class RunnerSubset {
    private RunnerSubset() {}

    /** Returns at most {@code maximum} targets, in the order of the list. */
    public static List<Target> of(String instance, List<Target> targets, int maximum) {
        if (targets.size() <= maximum) {
            return targets;
        }
        Set<String> selected = targets.stream()
                .filter(target -> !target.leaving())
                .sorted(Comparator.comparingLong(target -> rank(instance, target)))
                .limit(maximum)
                .map(Target::name)
                .collect(Collectors.toSet());
        return targets.stream()
                .filter(target -> selected.contains(target.name()))
                .toList();
    }

    private static long rank(String instance, Target target) {
        return PrefixHashes.mix(
                PrefixHashes.mix(instance.hashCode()) + target.name().hashCode());
    }
}
