package io.fireflywalk.benchmark.placement;

import io.fireflywalk.standin.engine.EngineJob;
import java.util.Optional;

/** One request of a run, with its progress. Confined to one thread. */
final class TrialRequest {
    private static final double TIGHT_FIRST_TOKEN_SECONDS = 0.87;
    private static final double TIGHT_GAP_SECONDS = 0.039;
    private static final double LOOSE_FIRST_TOKEN_SECONDS = 10;
    private static final double LOOSE_GAP_SECONDS = 0.1;

    final long arrival;
    final int promptTokens;
    final int outputTokens;
    final boolean movable;
    int generated;
    long firstToken = -1;
    long finished = -1;
    Runnable releaseQueued = () -> {};
    Optional<EngineJob> job = Optional.empty();
    Optional<TrialRunner> runner = Optional.empty();

    TrialRequest(long arrival, int promptTokens, int outputTokens, boolean movable) {
        this.arrival = arrival;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.movable = movable;
    }

    /** Tells whether the answer was complete, its first token was in time and its pace was kept. */
    boolean good() {
        if (finished < 0) {
            return false;
        }
        double first = (firstToken - arrival) / 1e9;
        double gap = (finished - firstToken) / 1e9 / Math.max(1, outputTokens - 1);
        return movable
                ? first <= LOOSE_FIRST_TOKEN_SECONDS && gap <= LOOSE_GAP_SECONDS
                : first <= TIGHT_FIRST_TOKEN_SECONDS && gap <= TIGHT_GAP_SECONDS;
    }
}
