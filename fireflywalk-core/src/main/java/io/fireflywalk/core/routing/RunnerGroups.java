package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Partition of a service's runners into a prefill group and a decode group. The group sizes follow the ratio of prefill
 * to decode work that this instance and its peers route, so they adapt within seconds without an order to an engine.
 * All instances see nearly the same ratio and order the runners by the hashes of their names, so their partitions are
 * nearly the same. An engine with the prefill or decode role always belongs to that group. Runners that are leaving or
 * ejected belong to neither. Not thread-safe.
 */
final class RunnerGroups {
    private static final long REFRESH_NANOSECONDS = 100_000_000;
    /** Minimum relative reduction of the load of the more loaded group for which the partition is changed. */
    private static final double HYSTERESIS = 0.05;

    private final LoadView view;
    private final RoutingSettings settings;
    private List<Target> targets = List.of();
    private int[] order = new int[0];
    private int[] prefill = new int[0];
    private int[] decode = new int[0];
    private boolean[] inDecode = new boolean[0];
    private int currentBoundary;
    private long partitionedAt = Long.MIN_VALUE / 2;

    RunnerGroups(LoadView view, RoutingSettings settings) {
        this.view = view;
        this.settings = settings;
    }

    /** Updates the groups if the targets have changed or the refresh interval has passed. */
    void refresh(List<Target> newTargets, long now) {
        if (newTargets == targets && now - partitionedAt < REFRESH_NANOSECONDS) {
            return;
        }
        if (newTargets != targets) {
            targets = newTargets;
            order = IntStream.range(0, targets.size())
                    .boxed()
                    .sorted(Comparator.comparingLong(
                            index -> PrefixHashes.mix(targets.get(index).name().hashCode())))
                    .mapToInt(Integer::intValue)
                    .toArray();
            inDecode = new boolean[order.length];
        }
        partitionedAt = now;
        partition(now);
    }

    /** Returns the indices of the targets in the prefill group. */
    int[] prefill() {
        return prefill;
    }

    /** Returns the indices of the targets in the decode group. */
    int[] decode() {
        return decode;
    }

    /** Returns whether the target at the index is in the decode group. */
    boolean isDecode(int index) {
        return inDecode[index];
    }

    private void partition(long now) {
        int mixedCount = 0;
        int[] mixed = new int[order.length];
        int[] prefillIndices = new int[order.length];
        int[] decodeIndices = new int[order.length];
        int prefillCount = 0;
        int decodeCount = 0;
        for (int index : order) {
            Target target = targets.get(index);
            RunnerLoad load = view.runner(target.name());
            if (target.leaving() || load.isEjected(now)) {
                continue;
            }
            switch (load.role()) {
                case PREFILL -> prefillIndices[prefillCount++] = index;
                case DECODE -> decodeIndices[decodeCount++] = index;
                default -> mixed[mixedCount++] = index;
            }
        }
        int boundary = chooseBoundary(mixedCount, now);
        for (int i = 0; i < mixedCount; i++) {
            if (i < boundary) {
                prefillIndices[prefillCount++] = mixed[i];
            } else {
                decodeIndices[decodeCount++] = mixed[i];
            }
        }
        prefill = Arrays.copyOf(prefillIndices, prefillCount);
        decode = Arrays.copyOf(decodeIndices, decodeCount);
        Arrays.fill(inDecode, false);
        for (int index : decode) {
            inDecode[index] = true;
        }
    }

    /** Returns how many of the mixed runners do prefill, so as to minimise the load of the more loaded group. */
    private int chooseBoundary(int mixedCount, long now) {
        if (mixedCount < 2 || !settings.split()) {
            currentBoundary = 0;
            return mixedCount;
        }
        double prefillWork = view.prefillWorkSeconds(now) / settings.prefillUtilisation();
        double decodeWork =
                view.decodeWorkSeconds(settings.betweenTokensGoalSeconds(), now) / settings.decodeUtilisation();
        double work = prefillWork + decodeWork;
        int proportional = work == 0 ? mixedCount / 2 : (int) (mixedCount * prefillWork / work);
        int best = clamp(currentBoundary, mixedCount);
        double bestLoad = maximumLoad(best, mixedCount, prefillWork, decodeWork) * (1 - HYSTERESIS);
        for (int candidate = proportional; candidate <= proportional + 1; candidate++) {
            int bounded = clamp(candidate, mixedCount);
            double load = maximumLoad(bounded, mixedCount, prefillWork, decodeWork);
            if (load < bestLoad) {
                best = bounded;
                bestLoad = load;
            }
        }
        currentBoundary = best;
        return best;
    }

    private static double maximumLoad(int boundary, int mixedCount, double prefillWork, double decodeWork) {
        return Math.max(prefillWork / boundary, decodeWork / (mixedCount - boundary));
    }

    private static int clamp(int boundary, int mixedCount) {
        return Math.max(1, Math.min(mixedCount - 1, boundary));
    }
}
