package io.fireflywalk.benchmark.policy;

import io.fireflywalk.core.routing.PrefixHashes;

/** One request of the workload and the progress that its caller observes. Confined to one thread. */
final class SimulatedRequest {
    static final double FIRST_TOKEN_GOAL_SECONDS = 0.87;
    static final double BETWEEN_TOKENS_GOAL_SECONDS = 0.039;
    private static final double MAXIMUM_SLOW_GAP_FRACTION = 0.05;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** A question with a short prompt, a request with a long shared prefix, or a task of the small service. */
    enum Kind {
        SHORT(0),
        LONG(1),
        TASK(2);

        private final int index;

        Kind(int index) {
            this.index = index;
        }

        int index() {
            return index;
        }
    }

    final long id;
    final Kind kind;
    final int account;
    final int phase;
    final long arrival;
    final int promptTokens;
    final int outputTokens;
    final long prefixIdentifier;
    final int prefixTokens;
    final PrefixHashes prefix;
    final double deadlineSeconds;
    int attempts;
    int generatedTokens;
    int retries;
    private long firstTokenAt = -1;
    private long lastTokenAt;
    private int slowTokenGaps;
    private long finishedAt = -1;

    SimulatedRequest(
            long id,
            Kind kind,
            int account,
            int phase,
            long arrival,
            int promptTokens,
            int outputTokens,
            long prefixIdentifier,
            int prefixTokens) {
        this.id = id;
        this.kind = kind;
        this.account = account;
        this.phase = phase;
        this.arrival = arrival;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.prefixIdentifier = prefixIdentifier;
        this.prefixTokens = prefixTokens;
        this.prefix = PrefixHashes.ofSimulatedPrefix(prefixIdentifier, prefixTokens);
        this.deadlineSeconds = kind == Kind.LONG ? 25 : 20;
    }

    long deadline() {
        return arrival + (long) (deadlineSeconds * NANOSECONDS_PER_SECOND);
    }

    void token(long now) {
        if (firstTokenAt < 0) {
            firstTokenAt = now;
        } else if (now - lastTokenAt > BETWEEN_TOKENS_GOAL_SECONDS * NANOSECONDS_PER_SECOND) {
            slowTokenGaps++;
        }
        lastTokenAt = now;
        generatedTokens++;
    }

    void finished(long now) {
        finishedAt = now;
    }

    boolean hasFirstToken() {
        return firstTokenAt >= 0;
    }

    double firstTokenSeconds() {
        return (firstTokenAt - arrival) / NANOSECONDS_PER_SECOND;
    }

    boolean firstTokenInTime() {
        return hasFirstToken() && firstTokenSeconds() <= FIRST_TOKEN_GOAL_SECONDS;
    }

    boolean isFinished() {
        return finishedAt >= 0;
    }

    boolean meetsGoals() {
        if (finishedAt < 0) {
            return false;
        }
        if (kind == Kind.LONG) {
            return finishedAt <= deadline();
        }
        return firstTokenInTime() && slowTokenGaps <= MAXIMUM_SLOW_GAP_FRACTION * Math.max(1, outputTokens - 1);
    }
}
