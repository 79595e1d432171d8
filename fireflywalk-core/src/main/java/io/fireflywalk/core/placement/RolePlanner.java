package io.fireflywalk.core.placement;

import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.routing.RunnerRole;
import java.util.List;
import java.util.Optional;

/**
 * Chooses role changes within a model. Stateless and thread-safe.
 *
 * <p>A split of runners into roles is judged against every sample of the recent window: work that does not fit its
 * roles is a loss, and work that the mixed runners do costs the mixed penalty. So a pool whose ratio of prompt to output
 * work goes up and down keeps mixed runners instead of following each shift, and a pool with a steady ratio gets
 * dedicated ones. A shortage of the last half minute is enough for a move to the mixed role; the way back needs a whole
 * window. A dedicated role is left only for the mixed one and is taken only from it, and not while the present
 * ratio is away from that of the window. Regular and preemptible runners are split separately, because work that may not
 * move finds its roles among the regular ones only.
 */
final class RolePlanner {
    /** Share of the work by which the ratio must differ from the window's mean to count as a shift in progress. */
    private static final double SHIFT_SHARE = 0.08;
    /** Latest samples that may justify a move to the mixed role by themselves: a shift must not wait for the window. */
    private static final int ACUTE_SAMPLES = 6;

    void plan(PlacementRun run, ModelDemand demand) {
        List<RunnerView> serving = run.serving(demand.served());
        if (demand.history().isEmpty()
                || !run.mayChangeOneMore(demand.served(), serving.size(), demand.minimumTargets())) {
            return;
        }
        Optional<Move> best = Optional.empty();
        for (TargetCharge charge : TargetCharge.values()) {
            Optional<Move> move = bestOfCharge(run, demand, serving, charge);
            if (gain(move) > gain(best)) {
                best = move;
            }
        }
        best.filter(move -> move.gain() > move.cost() * (1 + run.settings().hysteresis()))
                .ifPresent(move -> run.start(
                        move.runner(), move.runner().assignment().withRole(move.to()), move.gain(), move.cost()));
    }

    private static Optional<Move> bestOfCharge(
            PlacementRun run, ModelDemand demand, List<RunnerView> serving, TargetCharge charge) {
        List<RunnerView> group =
                serving.stream().filter(runner -> runner.charge() == charge).toList();
        double movable = demand.movableFraction();
        double ofCharge = charge == TargetCharge.REGULAR ? 1 - movable : movable;
        double fraction = group.size() == serving.size() ? 1 : ofCharge;
        List<Work> window = window(demand, run.settings(), fraction);
        boolean settled = window.size() >= run.settings().windowSamples()
                && !shifting(window, run.forecast(demand).present());
        Optional<Move> best = Optional.empty();
        for (RunnerRole dedicated : List.of(RunnerRole.PREFILL, RunnerRole.DECODE)) {
            best = better(best, run, group, window, dedicated, RunnerRole.MIXED);
            if (settled) {
                best = better(best, run, group, window, RunnerRole.MIXED, dedicated);
            }
        }
        return best;
    }

    private static Optional<Move> better(
            Optional<Move> best,
            PlacementRun run,
            List<RunnerView> serving,
            List<Work> window,
            RunnerRole from,
            RunnerRole to) {
        List<RunnerView> candidates = run.changeable(serving.stream()
                .filter(runner -> runner.assignment().role() == from)
                .toList());
        if (candidates.isEmpty()) {
            return best;
        }
        Split split = Split.of(serving);
        Split after = split.move(from, to);
        double saved = split.loss(window, run.settings()) - after.loss(window, run.settings());
        if (to == RunnerRole.MIXED) {
            List<Work> acute = window.subList(Math.max(0, window.size() - ACUTE_SAMPLES), window.size());
            saved = Math.max(saved, split.loss(acute, run.settings()) - after.loss(acute, run.settings()));
        }
        double gain = saved * run.settings().horizonSeconds();
        return best.isPresent() && best.get().gain() >= gain
                ? best
                : Optional.of(new Move(candidates.get(0), to, gain, cost(run, split, from, window)));
    }

    /** Returns what the change costs: the runner's time, and the present work that fits no role while it is out. */
    private static double cost(PlacementRun run, Split split, RunnerRole from, List<Work> window) {
        List<Work> present = window.subList(window.size() - 1, window.size());
        double lossWhileOut = split.without(from).loss(present, run.settings()) - split.loss(present, run.settings());
        return (run.settings().drainSeconds() + run.settings().roleChangeSeconds()) * (1 + Math.max(0, lossWhileOut));
    }

    private static boolean shifting(List<Work> window, Work present) {
        double prefill = window.stream().mapToDouble(Work::prefill).sum();
        double total = window.stream().mapToDouble(Work::total).sum();
        return total > 0
                && present.total() > 0
                && Math.abs(present.prefill() / present.total() - prefill / total) > SHIFT_SHARE;
    }

    private static List<Work> window(ModelDemand demand, PlacementSettings settings, double fraction) {
        List<Work> history = demand.history();
        return history.subList(Math.max(0, history.size() - settings.windowSamples()), history.size()).stream()
                .map(work -> new Work(work.prefill() * fraction, work.decode() * fraction))
                .toList();
    }

    private static double gain(Optional<Move> move) {
        return move.map(Move::gain).orElse(Double.NEGATIVE_INFINITY);
    }

    private record Move(RunnerView runner, RunnerRole to, double gain, double cost) {}

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

        Split without(RunnerRole role) {
            return new Split(
                    prefill - (role == RunnerRole.PREFILL ? 1 : 0),
                    decode - (role == RunnerRole.DECODE ? 1 : 0),
                    mixed - (role == RunnerRole.MIXED ? 1 : 0));
        }

        /** Returns the mean over the window of the work that fits no role and of what the mixed role wastes. */
        double loss(List<Work> window, PlacementSettings settings) {
            double use = settings.lossUtilization();
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
