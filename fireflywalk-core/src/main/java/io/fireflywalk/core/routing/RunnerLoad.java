package io.fireflywalk.core.routing;

/**
 * One instance's estimate of one runner's load: the last report, drained by the time that has passed, plus what this
 * instance and its peers sent since the report was measured. Confined to one thread.
 *
 * <p>Rules for bad input. An implausible report is dropped. A report with a lower sequence number than the last one is
 * dropped as overtaken, unless the last one is older than two seconds; then the engine has started anew. Without a
 * report the estimate decays to the prior and the runner stays eligible with a penalty of at most
 * {@value #MAXIMUM_SILENCE_PENALTY_SECONDS} s, so that a fleet of which half is silent still uses the silent half when
 * the other is loaded. A runner that answers its reports but gives this instance no token although one is due counts as
 * stalled, whatever its reports say. A runner whose attempts fail is avoided for a time that doubles with each failure.
 */
public final class RunnerLoad {
    private static final double MAXIMUM_SILENCE_PENALTY_SECONDS = 0.4;
    private static final double SILENCE_PENALTY_PER_SECOND = 0.05;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final long SLOT_NANOSECONDS = 100_000_000;
    private static final int SLOTS = 32;
    /** How old a report is believed to be when it arrives. */
    private static final long REPORT_LAG_NANOSECONDS = 200_000_000;

    private static final long RESTART_NANOSECONDS = 2_000_000_000;
    private static final double FRESH_SECONDS = 3;
    private static final double PRIOR_SECONDS = 5;
    private static final double PRIOR_GENERATING = 8;
    private static final double STALL_SECONDS = 2.5;
    private static final long FIRST_AVOIDANCE_NANOSECONDS = 1_000_000_000;
    private static final int MAXIMUM_DOUBLINGS = 5;
    private static final double SLOWNESS_WEIGHT = 0.1;
    private static final double MAXIMUM_SLOWNESS = 4;

    private final RunnerProfile profile;
    private LoadReport report = new LoadReport("", "", RunnerRole.MIXED, 0, 0, 0, 0, -1);
    private long reportedAt = Long.MIN_VALUE / 2;
    private final long[] slotNumbers = new long[SLOTS];
    private final long[] slotTokens = new long[SLOTS];
    private final int[] slotRequests = new int[SLOTS];
    private long sentTokens;
    private long ownWaitingTokens;
    private int ownWaiting;
    private int ownGenerating;
    private long progressAt;
    private long avoidedUntil = Long.MIN_VALUE;
    private int failures;
    private double slowness = 1;

    RunnerLoad(RunnerProfile profile) {
        this.profile = profile;
    }

    /** Takes a report; returns true if it shows that the engine started anew. */
    public boolean reported(LoadReport newReport, long now) {
        if (!newReport.plausible()) {
            return false;
        }
        boolean lower = newReport.sequence() <= report.sequence();
        if (lower && now - reportedAt < RESTART_NANOSECONDS) {
            return false;
        }
        report = newReport;
        reportedAt = now;
        return lower;
    }

    /** Counts a request that this instance sent. */
    public void sent(long prefillTokens, long now) {
        if (ownWaiting + ownGenerating == 0) {
            progressAt = now;
        }
        ownWaiting++;
        ownWaitingTokens += prefillTokens;
        add(prefillTokens, 1, now);
    }

    /** Counts a request that came with its KV cache. */
    public void imported(long now) {
        if (ownWaiting + ownGenerating == 0) {
            progressAt = now;
        }
        ownGenerating++;
        add(0, 1, now);
    }

    /** Counts what a peer says it sent. */
    public void peerSent(long prefillTokens, int requests, long now) {
        add(prefillTokens, requests, now);
    }

    /** Notes the first token of a request and how long it took compared with the expectation. */
    public void firstToken(long prefillTokens, double expectedSeconds, double observedSeconds, long now) {
        ownWaiting = Math.max(0, ownWaiting - 1);
        ownWaitingTokens = Math.max(0, ownWaitingTokens - prefillTokens);
        ownGenerating++;
        if (expectedSeconds > 0) {
            double ratio = Math.min(MAXIMUM_SLOWNESS, observedSeconds / expectedSeconds);
            slowness += SLOWNESS_WEIGHT * (ratio - slowness);
            slowness = Math.max(1, slowness);
        }
        progressed(now);
    }

    /** Notes that the runner sent something to this instance. */
    public void progressed(long now) {
        progressAt = now;
        failures = 0;
        avoidedUntil = Long.MIN_VALUE;
    }

    /** Counts the end of a request that had its first token. */
    public void ended() {
        ownGenerating = Math.max(0, ownGenerating - 1);
    }

    /** Counts the end of a request that got no token, without blame for the runner. */
    public void abandoned(long prefillTokens) {
        ownWaiting = Math.max(0, ownWaiting - 1);
        ownWaitingTokens = Math.max(0, ownWaitingTokens - prefillTokens);
    }

    /** Notes that an attempt failed because of the runner. */
    public void failed(long now) {
        avoidedUntil = now + (FIRST_AVOIDANCE_NANOSECONDS << Math.min(failures, MAXIMUM_DOUBLINGS));
        failures++;
        progressAt = now;
    }

    /** Returns the role of the last report. */
    public RunnerRole role() {
        return report.role();
    }

    /** Returns the expected number of prompt tokens that wait. */
    public double queuedTokens(long now) {
        double age = age(now);
        double drained = age * profile.prefillTokensPerSecond(report.runningRequests()) / slowness;
        double reported = (report.queuedPrefillTokens() + addedTokens(now) - drained) * trust(age);
        return Math.max(Math.max(0, reported), ownWaitingTokens / 2.0);
    }

    /** Returns the expected number of requests that generate tokens. */
    public double generating(long now) {
        double age = age(now);
        double trust = trust(age);
        double reported = report.runningRequests() + report.waitingRequests() + addedRequests(now);
        return Math.max(reported * trust + PRIOR_GENERATING * (1 - trust), ownGenerating + ownWaiting);
    }

    /** Returns the expected time to the first token of a prompt. */
    public double firstTokenSeconds(double prefillTokens, long now) {
        double generating = generating(now);
        double tokens = queuedTokens(now) + prefillTokens;
        return slowness * (tokens / profile.prefillTokensPerSecond(generating) + profile.step(generating, 0));
    }

    /** Returns the expected time between tokens after another request has joined. */
    public double betweenTokensSeconds(double addedPrefillTokens, long now) {
        double queue = queuedTokens(now) + addedPrefillTokens;
        return profile.step(generating(now) + 1, Math.min(queue, profile.chunkTokens()));
    }

    /** Returns what is added to the expected times because the runner has not reported lately. */
    public double silencePenaltySeconds(long now) {
        return Math.min(
                MAXIMUM_SILENCE_PENALTY_SECONDS, Math.max(0, age(now) - FRESH_SECONDS) * SILENCE_PENALTY_PER_SECOND);
    }

    /** Tells whether the runner should get nothing while another one is eligible. */
    public boolean avoided(long now) {
        return now < avoidedUntil || stalled(now);
    }

    /** Returns all prompt tokens known to have been sent to the runner. */
    public long sentTokens() {
        return sentTokens;
    }

    private boolean stalled(long now) {
        double expected = slowness * queuedTokens(now) / profile.prefillTokensPerSecond(generating(now));
        return ownWaiting + ownGenerating > 0
                && (now - progressAt) / NANOSECONDS_PER_SECOND > STALL_SECONDS + 2 * expected;
    }

    private double age(long now) {
        return Math.min(1e6, (now - reportedAt) / NANOSECONDS_PER_SECOND);
    }

    private static double trust(double age) {
        return age < FRESH_SECONDS ? 1 : Math.exp(-(age - FRESH_SECONDS) / PRIOR_SECONDS);
    }

    private void add(long tokens, int requests, long now) {
        long number = Math.floorDiv(now, SLOT_NANOSECONDS);
        int index = Math.floorMod(number, SLOTS);
        if (slotNumbers[index] != number) {
            slotNumbers[index] = number;
            slotTokens[index] = 0;
            slotRequests[index] = 0;
        }
        slotTokens[index] += tokens;
        slotRequests[index] += requests;
        sentTokens += tokens;
    }

    private double addedTokens(long now) {
        long first = firstSlot(now);
        long sum = 0;
        for (int i = 0; i < SLOTS; i++) {
            sum += slotNumbers[i] >= first ? slotTokens[i] : 0;
        }
        return sum;
    }

    private double addedRequests(long now) {
        long first = firstSlot(now);
        long sum = 0;
        for (int i = 0; i < SLOTS; i++) {
            sum += slotNumbers[i] >= first ? slotRequests[i] : 0;
        }
        return sum;
    }

    private long firstSlot(long now) {
        long since = Math.max(reportedAt - REPORT_LAG_NANOSECONDS, now - (SLOTS - 1) * SLOT_NANOSECONDS);
        return Math.floorDiv(since, SLOT_NANOSECONDS);
    }
}
