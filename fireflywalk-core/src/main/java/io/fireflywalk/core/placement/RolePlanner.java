package io.fireflywalk.core.placement;

import io.fireflywalk.core.routing.RunnerRole;
import java.util.List;
import java.util.Optional;

/**
 * Chooses role changes within a model. Stateless and thread-safe.
 *
 * <p>A split of runners into roles is judged against every sample of the recent window: work that does not fit its
 * roles is a loss, and work that the mixed runners do costs the mixed penalty. So a pool whose ratio of prompt to output
 * work goes up and down keeps mixed runners instead of following each shift, and a pool with a steady ratio gets
 * dedicated ones. A dedicated role is left only for the mixed one and is taken only from it, and not while the present
 * ratio is away from that of the window.
 */
final class RolePlanner {
    /** Share of the work by which the ratio must differ from the window's mean to count as a shift in progress. */
    private static final double SHIFT_SHARE = 0.08;
    /** Part of the window that must be known before a runner leaves the mixed role. */
    private static final double LEAST_WINDOW = 0.25;

    void plan(PlacementRun run, ModelDemand demand) {
        List<RunnerView> serving = run.serving(demand.served());
        List<Work> window = window(demand, run.settings());
        if (window.isEmpty() || !run.mayChangeOneMore(demand.served(), serving.size(), demand.minimumTargets())) {
            return;
        }
        Split present = Split.of(serving);
        double lossNow = present.loss(window, run.settings());
        boolean settled = window.size() >= LEAST_WINDOW * run.settings().windowSamples()
                && !shifting(window, run.forecast(demand).present());
        Optional<Move> best = Optional.empty();
        for (RunnerRole dedicated : List.of(RunnerRole.PREFILL, RunnerRole.DECODE)) {
            best = better(best, run, serving, window, lossNow, dedicated, RunnerRole.MIXED);
            if (settled) {
                best = better(best, run, serving, window, lossNow, RunnerRole.MIXED, dedicated);
            }
        }
        double cost = run.settings().drainSeconds() + run.settings().roleChangeSeconds();
        best.filter(move -> move.gain() > cost * (1 + run.settings().hysteresis()))
                .filter(move -> keepsCapacity(run, demand, serving.size()))
                .ifPresent(move ->
                        run.start(move.runner(), move.runner().assignment().withRole(move.to()), move.gain(), cost));
    }

    private static Optional<Move> better(
            Optional<Move> best,
            PlacementRun run,
            List<RunnerView> serving,
            List<Work> window,
            double lossNow,
            RunnerRole from,
            RunnerRole to) {
        List<RunnerView> candidates = run.changeable(serving.stream()
                .filter(runner -> runner.assignment().role() == from)
                .toList());
        if (candidates.isEmpty()) {
            return best;
        }
        double lossAfter = Split.of(serving).move(from, to).loss(window, run.settings());
        double gain = (lossNow - lossAfter) * run.settings().horizonSeconds();
        return best.isPresent() && best.get().gain() >= gain
                ? best
                : Optional.of(new Move(candidates.get(0), to, gain));
    }

    /** Tells whether the model does its present work while one runner is out, so that a change interrupts nothing. */
    private static boolean keepsCapacity(PlacementRun run, ModelDemand demand, int serving) {
        return demand.present().total() <= (serving - 1) * run.settings().lossUtilization();
    }

    private static boolean shifting(List<Work> window, Work present) {
        double prefill = window.stream().mapToDouble(Work::prefill).sum();
        double total = window.stream().mapToDouble(Work::total).sum();
        return total > 0
                && present.total() > 0
                && Math.abs(present.prefill() / present.total() - prefill / total) > SHIFT_SHARE;
    }

    private static List<Work> window(ModelDemand demand, PlacementSettings settings) {
        List<Work> history = demand.history();
        return history.subList(Math.max(0, history.size() - settings.windowSamples()), history.size());
    }

    private record Move(RunnerView runner, RunnerRole to, double gain) {}

    private record Split(int prefill, int decode, int mixed) {

        static Split of(List<RunnerView> runners) {
            int prefill = 0;
            int decode = 0;
            for (RunnerView runner : runners) {
                prefill += runner.assignment().role() == RunnerRole.PREFILL ? 1 : 0;
                decode += runner.assignment().role() == RunnerRole.DECODE ? 1 : 0;
            }
            return new Split(prefill, decode, runners.size() - prefill - decode);
        }

        Split move(RunnerRole from, RunnerRole to) {
            return new Split(
                    prefill + step(RunnerRole.PREFILL, from, to),
                    decode + step(RunnerRole.DECODE, from, to),
                    mixed + step(RunnerRole.MIXED, from, to));
        }

        /** Returns the mean over the window of the work that fits no role and of what the mixed role wastes. */
        double loss(List<Work> window, PlacementSettings settings) {
            double use = settings.utilization();
            double mixedCapacity = mixed * use * (1 - settings.mixedPenalty());
            double sum = 0;
            for (Work work : window) {
                double overflow =
                        Math.max(0, work.prefill() - prefill * use) + Math.max(0, work.decode() - decode * use);
                double onMixed = Math.min(overflow, mixedCapacity);
                sum += overflow - onMixed + onMixed * settings.mixedPenalty();
            }
            return sum / window.size();
        }

        private static int step(RunnerRole role, RunnerRole from, RunnerRole to) {
            return (role == to ? 1 : 0) - (role == from ? 1 : 0);
        }
    }
}
