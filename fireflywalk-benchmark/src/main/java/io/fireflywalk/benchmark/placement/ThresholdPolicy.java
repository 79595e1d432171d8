package io.fireflywalk.benchmark.placement;

import io.fireflywalk.core.placement.FleetView;
import io.fireflywalk.core.placement.OrderReport;
import io.fireflywalk.core.placement.PendingChange;
import io.fireflywalk.core.placement.PlacementDecision;
import io.fireflywalk.core.placement.RunnerState;
import io.fireflywalk.core.placement.RunnerView;
import io.fireflywalk.core.placement.Work;
import io.fireflywalk.core.routing.RunnerRole;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Baseline that moves one runner at a time between the prefill and decode roles when one is above the upper and the
 * other below the lower utilization of the last half minute. Confined to one thread.
 */
public final class ThresholdPolicy implements PlacementPolicy {
    private static final double UPPER = 0.8;
    private static final double LOWER = 0.7;
    private static final int SAMPLES = 6;

    private Optional<PendingChange> pending = Optional.empty();
    private long changes;

    @Override
    public List<PlacementDecision> decide(FleetView view, long now) {
        if (pending.isPresent()) {
            return advance(view, pending.get(), now);
        }
        List<Work> history = view.demands().get(0).history();
        if (history.size() < SAMPLES) {
            return List.of();
        }
        List<Work> recent = history.subList(history.size() - SAMPLES, history.size());
        double prefill = recent.stream().mapToDouble(Work::prefill).sum() / SAMPLES / count(view, RunnerRole.PREFILL);
        double decode = recent.stream().mapToDouble(Work::decode).sum() / SAMPLES / count(view, RunnerRole.DECODE);
        if (prefill > UPPER && decode < LOWER) {
            return start(view, RunnerRole.DECODE, RunnerRole.PREFILL, now);
        }
        return decode > UPPER && prefill < LOWER ? start(view, RunnerRole.PREFILL, RunnerRole.DECODE, now) : List.of();
    }

    private List<PlacementDecision> start(FleetView view, RunnerRole from, RunnerRole to, long now) {
        if (count(view, from) <= 1) {
            return List.of();
        }
        RunnerView runner = view.runners().stream()
                .filter(candidate -> candidate.assignment().role() == from)
                .filter(candidate -> candidate.state() == RunnerState.SERVING)
                .min(Comparator.comparingInt(RunnerView::runningRequests))
                .orElseThrow();
        PendingChange change = new PendingChange(
                "threshold-" + changes++,
                runner.name(),
                runner.assignment(),
                runner.assignment().withRole(to),
                PendingChange.Phase.DRAINING,
                now,
                0);
        pending = Optional.of(change);
        return List.of(new PlacementDecision.StartDrain(change, 0, 0));
    }

    private List<PlacementDecision> advance(FleetView view, PendingChange change, long now) {
        if (change.phase() == PendingChange.Phase.ORDERED) {
            if (view.outcome(change.orderId()).equals(Optional.of(OrderReport.Outcome.CONFIRMED))) {
                pending = Optional.empty();
                return List.of(new PlacementDecision.Finish(change, change.to()));
            }
            return List.of();
        }
        boolean drained = view.runners().stream()
                .anyMatch(runner -> runner.name().equals(change.runner()) && runner.runningRequests() == 0);
        if (!drained) {
            return List.of();
        }
        PendingChange ordered = change.enter(PendingChange.Phase.ORDERED, now);
        pending = Optional.of(ordered);
        return List.of(new PlacementDecision.SendOrder(ordered, ordered.orderId(), ordered.to()));
    }

    private static double count(FleetView view, RunnerRole role) {
        return Math.max(
                1,
                view.runners().stream()
                        .filter(runner -> runner.assignment().role() == role)
                        .filter(runner -> runner.state() == RunnerState.SERVING)
                        .count());
    }
}
