package io.fireflywalk.benchmark.placement;

import java.util.List;

/**
 * Figures of one run.
 *
 * @param policy policy
 * @param scenario scenario
 * @param seed seed
 * @param requests requests that arrived after the warm-up
 * @param goodAnswers complete answers in time among them
 * @param lost requests without a complete answer at the end of the run
 * @param roleChanges role changes ordered after the warm-up
 * @param roleChangesPerShift the same per shift of the ratio, 0 without shifts
 * @param spend charges, in seconds of a regular target
 * @param spendPerGoodAnswer charges per good answer
 * @param movableShareOnPreemptible part of the movable work done on preemptible targets
 * @param recoverySeconds time from the loss of a zone to 95% of the earlier rate of good answers; -1 without a loss or
 *     if it was not reached
 * @param streamsMoved streams that were moved because of a notice of reclaim
 * @param goodFractions part of the requests that got good answers by time of arrival, per ten seconds
 * @param targets number of targets, per ten seconds
 */
public record TrialResult(
        String policy,
        String scenario,
        long seed,
        int requests,
        int goodAnswers,
        int lost,
        int roleChanges,
        double roleChangesPerShift,
        double spend,
        double spendPerGoodAnswer,
        double movableShareOnPreemptible,
        double recoverySeconds,
        int streamsMoved,
        List<Double> goodFractions,
        List<Integer> targets) {}
