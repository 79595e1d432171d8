package io.fireflywalk.benchmark.placement;

import io.fireflywalk.core.configuration.TargetCharge;

/** Counts the movable work by the charge of the target that did it. Confined to one thread. */
final class WorkMeter {
    /** Seconds of a runner per prompt token in chunks without generation. */
    static final double PROMPT_TOKEN_SECONDS = 0.000_069;
    /** Seconds of a runner per generated token in a batch of 40. */
    static final double OUTPUT_TOKEN_SECONDS = 0.000_43;

    private double movable;
    private double movableOnPreemptible;

    void token(TrialRequest request, TrialRunner runner) {
        add(request, runner, OUTPUT_TOKEN_SECONDS);
    }

    void prompt(TrialRequest request, TrialRunner runner, int tokens) {
        add(request, runner, tokens * PROMPT_TOKEN_SECONDS);
    }

    double share() {
        return movable == 0 ? 0 : movableOnPreemptible / movable;
    }

    private void add(TrialRequest request, TrialRunner runner, double seconds) {
        if (request.movable) {
            movable += seconds;
            movableOnPreemptible += runner.charge == TargetCharge.PREEMPTIBLE ? seconds : 0;
        }
    }
}
