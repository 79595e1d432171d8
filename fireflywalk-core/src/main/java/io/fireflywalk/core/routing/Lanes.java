package io.fireflywalk.core.routing;

import io.fireflywalk.core.configuration.Target;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Division of a service's runners into those that compute prompts and those that generate. The sizes follow the mix of
 * the requests that this instance and its peers route, so they shift within seconds and without an order to an engine.
 * All instances see nearly the same mix, and the order of the runners comes from their names' hashes, so all divide at
 * nearly the same place. A fixed role of an engine overrides the lane. Runners that are leaving or
 * avoided take no place. Confined to one thread.
 */
final class Lanes {
    private static final long REFRESH_NANOSECONDS = 100_000_000;
    /** Part of the present load of the fuller lane that another division has to save before it is taken. */
    private static final double HYSTERESIS = 0.05;

    private final LoadView view;
    private final RoutingSettings settings;
    private List<Target> targets = List.of();
    private int[] order = new int[0];
    private int[] prefill = new int[0];
    private int[] decode = new int[0];
    private boolean[] decodes = new boolean[0];
    private int mixedPrefill;
    private long refreshedAt = Long.MIN_VALUE / 2;

    Lanes(LoadView view, RoutingSettings settings) {
        this.view = view;
        this.settings = settings;
    }

    /** Brings the lanes up to date. */
    void refresh(List<Target> newTargets, long now) {
        if (newTargets == targets && now - refreshedAt < REFRESH_NANOSECONDS) {
            return;
        }
        if (newTargets != targets) {
            targets = newTargets;
            order = IntStream.range(0, targets.size())
                    .boxed()
                    .sorted(Comparator.comparingLong(
                            index -> PrefixDigest.mix(targets.get(index).name().hashCode())))
                    .mapToInt(Integer::intValue)
                    .toArray();
            decodes = new boolean[order.length];
        }
        refreshedAt = now;
        divide(now);
    }

    /** Returns the indices of the targets that compute prompts. */
    int[] prefill() {
        return prefill;
    }

    /** Returns the indices of the targets that generate. */
    int[] decode() {
        return decode;
    }

    /** Tells whether the target at the index generates. */
    boolean decodes(int index) {
        return decodes[index];
    }

    private void divide(long now) {
        int usable = 0;
        int[] mixed = new int[order.length];
        int[] prefillers = new int[order.length];
        int[] decoders = new int[order.length];
        int prefillCount = 0;
        int decodeCount = 0;
        for (int index : order) {
            Target target = targets.get(index);
            RunnerLoad load = view.runner(target.name());
            if (target.leaving() || load.avoided(now)) {
                continue;
            }
            switch (load.role()) {
                case PREFILL -> prefillers[prefillCount++] = index;
                case DECODE -> decoders[decodeCount++] = index;
                default -> mixed[usable++] = index;
            }
        }
        int boundary = boundary(usable, now);
        for (int i = 0; i < usable; i++) {
            if (i < boundary) {
                prefillers[prefillCount++] = mixed[i];
            } else {
                decoders[decodeCount++] = mixed[i];
            }
        }
        prefill = Arrays.copyOf(prefillers, prefillCount);
        decode = Arrays.copyOf(decoders, decodeCount);
        Arrays.fill(decodes, false);
        for (int index : decode) {
            decodes[index] = true;
        }
    }

    /** Returns how many mixed runners compute prompts, so that the fuller lane is as little loaded as it can be. */
    private int boundary(int usable, long now) {
        if (usable < 2 || !settings.split()) {
            mixedPrefill = 0;
            return usable;
        }
        double prefillWork = view.prefillSeconds(now) / settings.prefillUtilisation();
        double decodeWork = view.decodeSeconds(settings.betweenTokensGoalSeconds(), now) / settings.decodeUtilisation();
        double work = prefillWork + decodeWork;
        int wanted = work == 0 ? usable / 2 : (int) (usable * prefillWork / work);
        int best = within(mixedPrefill, usable);
        double bestLoad = load(best, usable, prefillWork, decodeWork) * (1 - HYSTERESIS);
        for (int candidate = wanted; candidate <= wanted + 1; candidate++) {
            int bounded = within(candidate, usable);
            double load = load(bounded, usable, prefillWork, decodeWork);
            if (load < bestLoad) {
                best = bounded;
                bestLoad = load;
            }
        }
        mixedPrefill = best;
        return best;
    }

    private static double load(int boundary, int usable, double prefillWork, double decodeWork) {
        return Math.max(prefillWork / boundary, decodeWork / (usable - boundary));
    }

    private static int within(int boundary, int usable) {
        return Math.max(1, Math.min(usable - 1, boundary));
    }
}
