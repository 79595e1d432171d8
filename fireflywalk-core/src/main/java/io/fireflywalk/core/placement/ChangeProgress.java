package io.fireflywalk.core.placement;

import io.fireflywalk.core.placement.PendingChange.Phase;
import java.util.Optional;

/**
 * Moves pending changes on: drained, ordered, confirmed; or failed and returned. Stateless and thread-safe.
 *
 * <p>An order whose outcome is unknown is never followed by another order to the same runner, however long it lasts:
 * the runner stays out of the capacity until the outcome is known or the target is gone. A crash before the order ends
 * the change; after the order it does not, because the order may reach the restarted engine. A failed order returns the
 * runner to its earlier assignment, which waits for the weight-store budget like any other load. While the fleet is
 * frozen a drained runner gets no order, and its drain is cancelled at the limit.
 */
final class ChangeProgress {
    /** Failed orders to return after which the runner is left to be replaced. */
    private static final int RETURN_ATTEMPTS = 3;

    void advance(PlacementRun run) {
        for (PendingChange change : run.pending()) {
            Optional<RunnerView> runner = run.assessment().runner(change.runner());
            if (runner.isEmpty()) {
                abandon(run, change, "the target is gone");
                continue;
            }
            switch (change.phase()) {
                case DRAINING -> advanceDrain(run, change, runner.get());
                case ORDERED -> advanceOrder(run, change, runner.get());
                case ROLL_BACK_WAITING -> rollBack(run, change);
                case ROLLING_BACK -> advanceReturn(run, change, runner.get());
                default -> throw new IllegalStateException("phase " + change.phase());
            }
        }
    }

    private void advanceDrain(PlacementRun run, PendingChange change, RunnerView runner) {
        boolean ending = runner.state() == RunnerState.CRASHED
                || runner.state() == RunnerState.RECLAIM_NOTICE
                || runner.state() == RunnerState.LEAVING;
        boolean fresh = runner.reportAgeSeconds() < run.settings().staleSeconds()
                && runner.reportAgeSeconds() < run.secondsSince(change.phaseSinceNanoseconds());
        if (ending) {
            abandon(run, change, "the runner left while it drained");
        } else if (belowMinimum(run, change)) {
            cancelDrain(run, change, "the model is below its minimum");
        } else if (!run.assessment().frozen()
                && fresh
                && runner.state() == RunnerState.DRAINING
                && runner.runningRequests() == 0) {
            PendingChange ordered = change.enter(Phase.ORDERED, run.now());
            run.put(ordered);
            run.decide(new PlacementDecision.SendOrder(ordered, ordered.orderId(), ordered.to()));
        } else if (run.secondsSince(change.phaseSinceNanoseconds())
                >= run.settings().drainLimitSeconds()) {
            cancelDrain(run, change, "the drain took too long");
        }
    }

    private void advanceOrder(PlacementRun run, PendingChange change, RunnerView runner) {
        Optional<OrderReport.Outcome> outcome = run.view().outcome(change.orderId());
        if (outcome.isEmpty() && !reports(run, change, runner, change.to())) {
            return;
        }
        if (outcome.isPresent() && runner.state() == RunnerState.CRASHED) {
            abandon(run, change, "the engine ended in mid-change");
        } else if (outcome.isEmpty() || outcome.get() == OrderReport.Outcome.CONFIRMED) {
            finish(run, change, change.to());
        } else if (reports(run, change, runner, change.from())) {
            finish(run, change, change.from());
        } else {
            rollBack(run, change);
        }
    }

    private void advanceReturn(PlacementRun run, PendingChange change, RunnerView runner) {
        Optional<OrderReport.Outcome> outcome = run.view().outcome(change.orderId());
        if (outcome.isPresent() && runner.state() == RunnerState.CRASHED) {
            abandon(run, change, "the engine ended during the return");
        } else if (outcome.isPresent() && outcome.get() == OrderReport.Outcome.FAILED) {
            if (change.returnAttempts() >= RETURN_ATTEMPTS) {
                abandon(run, change, "the return failed repeatedly");
            } else {
                rollBack(run, change);
            }
        } else if (outcome.isPresent() || reports(run, change, runner, change.from())) {
            finish(run, change, change.from());
        }
    }

    private void rollBack(PlacementRun run, PendingChange change) {
        double gigabytes = run.view()
                .demand(change.from().served())
                .map(demand -> demand.loadGigabytes(change.to().served()))
                .orElse(0.0);
        if (run.takeFromBudget(gigabytes)) {
            PendingChange returning = change.enter(Phase.ROLLING_BACK, run.now());
            run.put(returning);
            run.decide(new PlacementDecision.RollBack(returning, returning.orderId(), returning.from()));
        } else if (change.phase() != Phase.ROLL_BACK_WAITING) {
            run.put(change.enter(Phase.ROLL_BACK_WAITING, run.now()));
        }
    }

    private static boolean reports(PlacementRun run, PendingChange change, RunnerView runner, Assignment assignment) {
        return run.assessment().trusted(runner)
                && runner.assignment().equals(assignment)
                && runner.reportAgeSeconds() < run.secondsSince(change.phaseSinceNanoseconds());
    }

    private static boolean belowMinimum(PlacementRun run, PendingChange change) {
        ServedModel served = change.from().served();
        int minimum = run.view().demand(served).map(ModelDemand::minimumTargets).orElse(0);
        return run.serving(served).size() < minimum;
    }

    private static void cancelDrain(PlacementRun run, PendingChange change, String reason) {
        run.end(change);
        run.decide(new PlacementDecision.CancelDrain(change, reason));
    }

    private static void abandon(PlacementRun run, PendingChange change, String reason) {
        run.end(change);
        run.decide(new PlacementDecision.Abandon(change, reason));
    }

    private static void finish(PlacementRun run, PendingChange change, Assignment reached) {
        run.end(change);
        run.decide(new PlacementDecision.Finish(change, reached));
    }
}
