package io.fireflywalk.core.routing;

/**
 * Estimate of one runner's load by one instance: the last load report, reduced by the work completed since then, plus
 * the work that this instance and its peers have sent since the report was measured. Not thread-safe.
 *
 * <p>Invalid, late or missing reports are handled as follows. An implausible report is dropped. A report whose sequence
 * number is not higher than the last one's is dropped as out of order, unless the last one is older than two seconds;
 * in that case the engine has restarted. Without reports the estimate decays to a prior, and the runner stays eligible
 * with a penalty of at most {@value #MAXIMUM_STALENESS_PENALTY_SECONDS} s, so that in a fleet of which half does not
 * report, that half is still used when the other is loaded. A runner that reports its load but sends this instance no
 * token although one is due is considered stalled, whatever its reports say. A runner whose attempts fail is ejected
 * from selection for a time that doubles with each consecutive failure.
 */
public final class RunnerLoad {
    private static final double MAXIMUM_STALENESS_PENALTY_SECONDS = 0.4;
    private static final double STALENESS_PENALTY_PER_SECOND = 0.05;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    /** Length of a time slot; the work sent to the runner is counted by slot. */
    private static final long SLOT_NANOSECONDS = 100_000_000;

    private static final int SLOTS = 32;
    /** Assumed age of a report on arrival. */
    private static final long REPORT_LAG_NANOSECONDS = 200_000_000;

    /** Average age of the work in a peer's sent load on arrival. */
    private static final long PEER_LOAD_LAG_NANOSECONDS = 250_000_000;

    /** Time after a report by which its requests are assumed to have ended; their number is reduced linearly. */
    private static final double REQUEST_LIFETIME_SECONDS = 4;

    private static final long RESTART_DETECTION_NANOSECONDS = 2_000_000_000;
    /** Age up to which a report has its full weight. */
    private static final double REPORT_FRESH_SECONDS = 3;

    private static final double PRIOR_DECAY_SECONDS = 5;
    private static final double PRIOR_REQUESTS = 8;
    private static final double STALL_SECONDS = 2.5;
    private static final long BASE_EJECTION_NANOSECONDS = 1_000_000_000;
    private static final int MAXIMUM_EJECTION_DOUBLINGS = 5;
    private static final double SLOWDOWN_SMOOTHING_FACTOR = 0.1;
    private static final double MAXIMUM_SLOWDOWN = 4;
    /** A prompt waits for the current step to end and shares its own step with others, about 0.15 s each. */
    private static final double FIRST_TOKEN_TOLERANCE_SECONDS = 0.25;

    private final RunnerProfile profile;
    private LoadReport report = new LoadReport("", "", RunnerRole.MIXED, 0, 0, 0, 0, -1);
    private long reportedAt = Long.MIN_VALUE / 2;
    private final long[] slotNumbers = new long[SLOTS];
    private final long[] slotTokens = new long[SLOTS];
    private final int[] slotRequests = new int[SLOTS];
    private long sentTokens;
    private long ownWaitingTokens;
    private int ownWaitingRequests;
    private int ownDecodingRequests;
    private long lastProgressAt;
    private long ejectedUntil = Long.MIN_VALUE;
    private int consecutiveFailures;
    private double slowdown = 1;

    RunnerLoad(RunnerProfile profile) {
        this.profile = profile;
    }

    /** Records a report; returns true if it shows that the engine has restarted. */
    public boolean recordReport(LoadReport newReport, long now) {
        if (!newReport.plausible()) {
            return false;
        }
        boolean sequenceNotHigher = newReport.sequence() <= report.sequence();
        if (sequenceNotHigher && now - reportedAt < RESTART_DETECTION_NANOSECONDS) {
            return false;
        }
        report = newReport;
        reportedAt = now;
        return sequenceNotHigher;
    }

    /** Records a request that this instance sent. */
    public void recordSent(long prefillTokens, long now) {
        if (ownWaitingRequests + ownDecodingRequests == 0) {
            lastProgressAt = now;
        }
        ownWaitingRequests++;
        ownWaitingTokens += prefillTokens;
        addToSlot(prefillTokens, 1, now);
        sentTokens += prefillTokens;
    }

    /** Records a decode request whose KV cache the runner imports. */
    public void recordImported(long now) {
        if (ownWaitingRequests + ownDecodingRequests == 0) {
            lastProgressAt = now;
        }
        ownDecodingRequests++;
        addToSlot(0, 1, now);
    }

    /** Records work that a peer sent. */
    public void recordPeerSent(long prefillTokens, int requests, long now) {
        addToSlot(prefillTokens, requests, now - PEER_LOAD_LAG_NANOSECONDS);
        sentTokens += prefillTokens;
    }

    /** Records the first token of a request, with its expected and observed time to the first token. */
    public void recordFirstToken(long prefillTokens, double expectedSeconds, double observedSeconds, long now) {
        ownWaitingRequests = Math.max(0, ownWaitingRequests - 1);
        ownWaitingTokens = Math.max(0, ownWaitingTokens - prefillTokens);
        ownDecodingRequests++;
        if (expectedSeconds > 0) {
            double observedRatio =
                    Math.min(MAXIMUM_SLOWDOWN, observedSeconds / (expectedSeconds + FIRST_TOKEN_TOLERANCE_SECONDS));
            slowdown += SLOWDOWN_SMOOTHING_FACTOR * (observedRatio - slowdown);
            slowdown = Math.max(1, slowdown);
        }
        recordProgress(now);
    }

    /** Records that the runner sent data to this instance, which ends an ejection. */
    public void recordProgress(long now) {
        lastProgressAt = now;
        consecutiveFailures = 0;
        ejectedUntil = Long.MIN_VALUE;
    }

    /** Records the end of a request that had received its first token. */
    public void recordEnd() {
        ownDecodingRequests = Math.max(0, ownDecodingRequests - 1);
    }

    /** Records the end of a request without a token for a reason other than a failure of the runner. */
    public void recordAbandoned(long prefillTokens) {
        ownWaitingRequests = Math.max(0, ownWaitingRequests - 1);
        ownWaitingTokens = Math.max(0, ownWaitingTokens - prefillTokens);
    }

    /** Records that an attempt failed because of the runner, and ejects it. */
    public void recordFailure(long now) {
        ejectedUntil = now + (BASE_EJECTION_NANOSECONDS << Math.min(consecutiveFailures, MAXIMUM_EJECTION_DOUBLINGS));
        consecutiveFailures++;
        lastProgressAt = now;
    }

    /** Returns the role in the last report. */
    public RunnerRole role() {
        return report.role();
    }

    /** Returns the expected number of prompt tokens whose prefill is pending. */
    public double queuedTokens(long now) {
        double reportAgeSeconds = reportAgeSeconds(now);
        double drainedTokens =
                (reportAgeSeconds + REPORT_LAG_NANOSECONDS / NANOSECONDS_PER_SECOND / 2) * prefillRate(now);
        double reportedTokens = (report.queuedPrefillTokens() + tokensSinceReport(now) - drainedTokens)
                * reportWeight(reportAgeSeconds);
        return Math.max(Math.max(0, reportedTokens), ownWaitingTokens / 2.0);
    }

    /** Returns the expected number of requests at the runner, decoding or waiting for prefill. */
    public double activeRequests(long now) {
        double reportAgeSeconds = reportAgeSeconds(now);
        double reportWeight = reportWeight(reportAgeSeconds);
        double reportedRequests = (report.runningRequests() + report.waitingRequests())
                        * Math.max(0, 1 - reportAgeSeconds / REQUEST_LIFETIME_SECONDS)
                + requestsSinceReport(now);
        return Math.max(
                reportedRequests * reportWeight + PRIOR_REQUESTS * (1 - reportWeight),
                ownDecodingRequests + ownWaitingRequests);
    }

    /** Returns the expected time to the first token of a new prompt. */
    public double firstTokenSeconds(double prefillTokens, long now) {
        double tokens = queuedTokens(now) + prefillTokens;
        return tokens / prefillRate(now) + slowdown * profile.expectedStepSeconds(decodingRequests(now), 0);
    }

    /** Returns the expected number of decoding requests, which slow prefill down, unlike those waiting for prefill. */
    public double decodingRequests(long now) {
        double reportWeight = reportWeight(reportAgeSeconds(now));
        return Math.max(
                report.runningRequests() * reportWeight + PRIOR_REQUESTS * (1 - reportWeight), ownDecodingRequests);
    }

    /** Returns the expected time between tokens if another request is added. */
    public double betweenTokensSeconds(double addedPrefillTokens, long now) {
        double prefillTokens = queuedTokens(now) + addedPrefillTokens;
        return profile.expectedStepSeconds(
                activeRequests(now) + 1, Math.min(prefillTokens, profile.mixedPrefillTokens()));
    }

    /** Returns the penalty on the expected time to the first token for the lack of recent reports. */
    public double stalenessPenaltySeconds(long now) {
        return Math.min(
                MAXIMUM_STALENESS_PENALTY_SECONDS,
                Math.max(0, reportAgeSeconds(now) - REPORT_FRESH_SECONDS) * STALENESS_PENALTY_PER_SECOND);
    }

    /** Returns whether the runner is ejected or stalled and must not be selected while another one is eligible. */
    public boolean isEjected(long now) {
        return now < ejectedUntil || isStalled(now);
    }

    /** Returns the total number of prompt tokens that this instance and its peers have sent to the runner. */
    public long sentTokens() {
        return sentTokens;
    }

    private double prefillRate(long now) {
        return profile.prefillTokensPerSecond(decodingRequests(now)) / slowdown;
    }

    private boolean isStalled(long now) {
        double expectedPrefillSeconds = queuedTokens(now) / prefillRate(now);
        return ownWaitingRequests + ownDecodingRequests > 0
                && (now - lastProgressAt) / NANOSECONDS_PER_SECOND > STALL_SECONDS + 2 * expectedPrefillSeconds;
    }

    private double reportAgeSeconds(long now) {
        return Math.min(1e6, (now - reportedAt) / NANOSECONDS_PER_SECOND);
    }

    private static double reportWeight(double reportAgeSeconds) {
        return reportAgeSeconds < REPORT_FRESH_SECONDS
                ? 1
                : Math.exp(-(reportAgeSeconds - REPORT_FRESH_SECONDS) / PRIOR_DECAY_SECONDS);
    }

    private void addToSlot(long tokens, int requests, long now) {
        long number = Math.floorDiv(now, SLOT_NANOSECONDS);
        int index = Math.floorMod(number, SLOTS);
        if (slotNumbers[index] != number) {
            slotNumbers[index] = number;
            slotTokens[index] = 0;
            slotRequests[index] = 0;
        }
        slotTokens[index] += tokens;
        slotRequests[index] += requests;
    }

    private double tokensSinceReport(long now) {
        long firstNumber = firstSlotNumber(now);
        long sum = 0;
        for (int i = 0; i < SLOTS; i++) {
            sum += slotNumbers[i] >= firstNumber ? slotTokens[i] : 0;
        }
        return sum;
    }

    private double requestsSinceReport(long now) {
        long firstNumber = firstSlotNumber(now);
        long sum = 0;
        for (int i = 0; i < SLOTS; i++) {
            sum += slotNumbers[i] >= firstNumber ? slotRequests[i] : 0;
        }
        return sum;
    }

    private long firstSlotNumber(long now) {
        long since = Math.max(reportedAt - REPORT_LAG_NANOSECONDS, now - (SLOTS - 1) * SLOT_NANOSECONDS);
        return Math.floorDiv(since, SLOT_NANOSECONDS);
    }
}
