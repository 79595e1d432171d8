package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The runners of a service that one instance uses, so that it can poll all of them often. Each instance takes another
 * part, chosen by hash, and a change of the fleet moves few runners in or out. Stateless.
 */
public final class RunnerSubset {
    private RunnerSubset() {}

    /** Returns at most the given number of targets, in the order of the list. */
    public static List<Target> of(String instance, List<Target> targets, int maximum) {
        if (targets.size() <= maximum) {
            return targets;
        }
        Set<String> chosen = targets.stream()
                .filter(target -> !target.leaving())
                .sorted(Comparator.comparingLong(target -> rank(instance, target)))
                .limit(maximum)
                .map(Target::name)
                .collect(Collectors.toSet());
        return targets.stream().filter(target -> chosen.contains(target.name())).toList();
    }

    private static long rank(String instance, Target target) {
        return PrefixDigest.mix(
                PrefixDigest.mix(instance.hashCode()) + target.name().hashCode());
    }
}
