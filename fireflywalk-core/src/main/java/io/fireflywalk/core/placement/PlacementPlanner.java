package io.fireflywalk.core.placement;

/**
 * Decides placement of one model pool: a pure function of view, state and time. Stateless and thread-safe.
 *
 * <p>Failures as input: with at least the freeze fraction of the fleet silent nothing is started, ordered or released,
 * and only notices of reclaim and outcomes of orders already sent are acted on; stale, missing and contradictory reports
 * are judged by {@link FleetAssessment}; crashes and unknown outcomes in mid-change by {@code ChangeProgress}; late
 * target orders and lost zones by {@code TargetPlanner}.
 */
public final class PlacementPlanner {
    private final PlacementSettings settings;
    private final ChangeProgress progress = new ChangeProgress();
    private final ModelPlanner models = new ModelPlanner();
    private final RolePlanner roles = new RolePlanner();
    private final TargetPlanner targets = new TargetPlanner();

    public PlacementPlanner(PlacementSettings settings) {
        this.settings = settings;
    }

    /** Returns the decisions at a monotonic time, and the state for the next run. */
    public PlacementOutcome plan(FleetView view, PlacementState state, PlacementScope scope, long now) {
        PlacementRun run = new PlacementRun(view, state, settings, now);
        if (scope.changes()) {
            run.assessment().runners().stream()
                    .filter(runner -> runner.state() == RunnerState.RECLAIM_NOTICE)
                    .forEach(runner -> run.decide(new PlacementDecision.MoveStreams(runner.name())));
            progress.advance(run);
        }
        if (run.assessment().frozen()) {
            run.decide(new PlacementDecision.Freeze(
                    run.assessment().silent(), run.assessment().runners().size()));
            return run.outcome();
        }
        if (scope.changes()) {
            models.plan(run);
            view.demands().forEach(demand -> roles.plan(run, demand));
        }
        view.demands().forEach(demand -> targets.plan(run, demand, scope.orderZones()));
        return run.outcome();
    }
}
