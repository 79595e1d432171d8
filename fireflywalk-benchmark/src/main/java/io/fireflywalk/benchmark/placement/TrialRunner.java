package io.fireflywalk.benchmark.placement;

import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.placement.Assignment;
import io.fireflywalk.core.placement.RunnerState;
import io.fireflywalk.core.placement.RunnerView;
import io.fireflywalk.core.routing.RunnerRole;
import io.fireflywalk.standin.engine.VirtualEngine;
import java.util.LinkedHashSet;
import java.util.Set;

/** A runner of a run: a virtual engine and what the router knows of it. Confined to one thread. */
final class TrialRunner {
    private static final double STEP_SECONDS = 0.008;
    private static final double SEQUENCE_SECONDS = 0.000_23;
    private static final double PREFILL_SECONDS = 0.000_069;
    private static final double CHUNK_TOKENS = 384;

    final String name;
    final String zone;
    final TargetCharge charge;
    final VirtualEngine engine;
    final Set<TrialRequest> requests = new LinkedHashSet<>();
    Assignment assignment;
    RunnerState state = RunnerState.SERVING;
    long queuedPrefill;

    TrialRunner(String name, String zone, TargetCharge charge, VirtualEngine engine, Assignment assignment) {
        this.name = name;
        this.zone = zone;
        this.charge = charge;
        this.engine = engine;
        this.assignment = assignment;
        engine.startAs(assignment.role());
    }

    RunnerRole role() {
        return assignment.role();
    }

    boolean serving() {
        return state == RunnerState.SERVING;
    }

    /** Returns the expected seconds until a prompt of this length is computed, and a charge for crowding. */
    double prefillScore(int tokens) {
        long queued = queuedPrefill + tokens;
        if (role() == RunnerRole.PREFILL) {
            return queued * PREFILL_SECONDS;
        }
        double step = STEP_SECONDS + SEQUENCE_SECONDS * requests.size();
        return queued * (PREFILL_SECONDS + step / CHUNK_TOKENS) + decodeScore();
    }

    /** Returns how crowded the generation is. */
    double decodeScore() {
        return requests.size() * SEQUENCE_SECONDS * 20 + (role() == RunnerRole.MIXED ? queuedPrefill * 1e-5 : 0);
    }

    RunnerView view() {
        return new RunnerView(name, zone, charge, state, assignment, requests.size(), 0.5);
    }
}
